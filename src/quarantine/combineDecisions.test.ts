import { deepEqual, equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { toId } from '../lib/ids.ts';
import { combineDecisions } from './combineDecisions.ts';
import type { SuspectId } from './SuspectId.ts';
import type { SendDecision } from './SuspectTable.ts';

const FIRST = toId<SuspectId>('part-1');
const SECOND = toId<SuspectId>('part-2');
const FREE: SendDecision = { kind: 'free' };

function createDue(trialCount = 0): Extract<SendDecision, { kind: 'trialDue' }> {
  return {
    kind: 'trialDue', trialCount, revision: 0, crashedAtMs: 1_000,
  };
}

function createHeld(retryAfterMs: number, isOnTrial: boolean): SendDecision {
  return { kind: 'held', retryAfterMs, isOnTrial };
}

describe('combineDecisions', () => {
  it('lets a request be the trial of the only suspect that is not free', () => {
    deepEqual(combineDecisions([[FIRST, FREE], [SECOND, createDue()]], 1_000), {
      kind: 'trialDue', trials: [{ ...createDue(), id: SECOND }],
    });
  });

  it('holds a request for as long as any of its suspects', () => {
    const decision = combineDecisions([
      [FIRST, createHeld(200, true)], [SECOND, createHeld(5_000, false)],
    ], 1_000);
    deepEqual(decision, createHeld(5_000, false));
  });

  it('blames no sound part for a trial with the crashing one while it may come alone', () => {
    const decisions = [[FIRST, createDue()], [SECOND, createDue()]] as const;
    deepEqual(combineDecisions(decisions, 1_000), createHeld(10_000, true));
    equal(combineDecisions(decisions, 11_000).kind, 'trialDue');
  });

  it('allows no second joint trial', () => {
    const decisions = [[FIRST, createDue(1)], [SECOND, createDue(1)]] as const;
    equal(combineDecisions(decisions, 60_000).kind, 'held');
  });
});
