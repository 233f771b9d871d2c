import { equal, ok, throws } from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { GrantOptions } from '../../src/grants/GrantOptions.ts';
import { GrantModel, type GrantAction } from './GrantModel.ts';

const SEED = 4;
const RUNS = 600;
const START_MS = 4_000;
/** Short times, so that many slots begin and end in one run. */
const SHORT: Partial<GrantOptions> = {
  grantMs: 2_000, maxGrantMs: 3_000, requestSlackMs: 500, replyTimeoutMs: 2_000, marginMs: 10,
};

const actions = fc.array(fc.record<GrantAction>({
  kind: fc.constantFrom(
    'send',
    'send',
    'send',
    'send',
    'send',
    'succeed',
    'succeed',
    'giveUp',
    'giveUp',
    'advance',
    'advance',
    'pause',
    'resume',
    'moveDuty',
    'failOver',
  ),
  host: fc.nat(4),
  timeoutMs: fc.constantFrom(300, 1_000, 2_000, 4_000),
  durationMs: fc.constantFrom(10, 50, 300, 300, 1_000, 2_000),
  delivery: fc.constantFrom('deliver', 'deliver', 'deliver', 'lose', 'double', 'delay'),
}), { maxLength: 200, size: 'max' });

const PLAIN = {
  host: 0, timeoutMs: 6_000, durationMs: START_MS, delivery: 'deliver',
} as const;

function createStarted(
  hostCount: number,
  coldStartLimit: number,
  options: Partial<GrantOptions> = {},
): GrantModel {
  const model = new GrantModel(hostCount, coldStartLimit, { ...SHORT, ...options });
  model.act({ ...PLAIN, kind: 'moveDuty' });
  model.act({ ...PLAIN, kind: 'advance' });
  return model;
}

function checkBound(options: Partial<GrantOptions>): number {
  let sentCount = 0;
  fc.assert(fc.property(
    actions,
    fc.integer({ min: 1, max: 4 }),
    fc.integer({ min: 0, max: 8 }),
    (list, hostCount, bearable) => {
      const model = createStarted(hostCount, bearable, options);
      list.forEach((action) => {
        model.act(action);
        ok(model.runningCount <= bearable, `${model.runningCount} run, ${bearable} bearable`);
      });
      sentCount += model.sentCount;
    },
  ), { seed: SEED, numRuns: RUNS });
  return sentCount;
}

describe('grants of a cold upstream', () => {
  it('bound the sum over all hosts through losses, doubles, delays, pauses and moves', () => {
    ok(checkBound({}) > RUNS, 'the actions send little, so that the bound means little');
  });

  it('are checked by a bound that can fail: a steward that forgets its grants exceeds it', () => {
    throws(() => checkBound({ driftFraction: -1, marginMs: 0 }), /Property failed/);
  });

  it('let a host send all that is bearable while the others are quiet', () => {
    const model = createStarted(5, 4);
    for (let index = 0; index < 20; index += 1) {
      model.act({ ...PLAIN, kind: 'send' });
    }
    equal(model.runningCount, 4);
  });

  it('leave each host its share without any steward', () => {
    const model = new GrantModel(2, 8);
    [0, 1, 0, 1, 0, 1, 0, 1].forEach((host) => {
      model.act({
        ...PLAIN, kind: 'send', host, durationMs: 6_000,
      });
    });
    equal(model.runningCount, 4);
  });

  it('let nobody send without any steward when the share is less than one attempt', () => {
    const model = new GrantModel(5, 2);
    for (let index = 0; index < 10; index += 1) {
      model.act({ ...PLAIN, kind: 'send', host: index });
    }
    equal(model.sentCount, 0);
  });
});
