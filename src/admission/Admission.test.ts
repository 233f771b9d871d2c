import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { PipelineRecord } from '../configuration/records/PipelineRecord.ts';
import { toId, type AccountId } from '../lib/ids.ts';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import { Admission, type AdmissionRequest, type PoolLoad } from './Admission.ts';
import { StageLatencies } from './StageLatencies.ts';

const STAGE = { repeatable: true, expectedCostMicros: 100 };
const PIPELINE: PipelineRecord = {
  id: 'brief',
  deadlineMs: 6_000,
  stages: [
    {
      ...STAGE, id: 'encode', poolId: 'encoders', expectedMs: 100,
    },
    {
      ...STAGE, id: 'generate', poolId: 'engines', expectedMs: 900,
    },
  ],
};
const IDLE: PoolLoad = {
  limit: 10, running: 0, queuedCount: 0, accountQueuedCount: 0, accountShare: 1,
};
const LONG_QUEUE: PoolLoad = {
  ...IDLE, running: 10, queuedCount: 19, accountQueuedCount: 19,
};
const REQUEST: AdmissionRequest = {
  accountId: toId<AccountId>('a'),
  pipeline: PIPELINE,
  nextStageIndex: 0,
  deadlineAtMs: 2_000,
  spentMicros: 0,
  costCeilingMicros: 0,
};

function createAdmission(load: PoolLoad, context = new FakeCoreContext()): Admission {
  return new Admission(context, new StageLatencies(context), { getPoolLoad: () => load });
}

describe('Admission', () => {
  it('splits the deadline over the stages by what they need', () => {
    const verdict = createAdmission(IDLE).decide(REQUEST);
    ok(verdict.kind === 'admitted');
    equal(verdict.stageDeadlineAtMs, 200);
    equal(verdict.latestStartAtMs, 1_000);
  });

  const refusals: readonly (readonly [
    string, PoolLoad, Partial<AdmissionRequest>, string, number | null])[] = [
    ['a deadline shorter than the service', IDLE, { deadlineAtMs: 999 },
      'deadline-unreachable', null],
    ['a cost above the ceiling', IDLE, { costCeilingMicros: 199 }, 'cost-ceiling', null],
    ['a later stage above the ceiling', IDLE,
      { nextStageIndex: 1, spentMicros: 150, costCeilingMicros: 249 }, 'cost-ceiling', null],
    ['no usable upstream', { ...IDLE, limit: 0 }, {}, 'overloaded', 5_000],
    ['a queue longer than the deadline', LONG_QUEUE, {},
      'deadline-unreachable', 1_200],
  ];
  refusals.forEach(([name, load, change, code, retryAfterMs]) => it(`refuses ${name}`, () => {
    const verdict = createAdmission(load).decide({ ...REQUEST, ...change });
    ok(verdict.kind === 'refused');
    equal(verdict.code, code);
    equal(verdict.retryAfterMs, retryAfterMs);
  }));

  it('tells a time to come back at which the same queue, drained, admits', () => {
    const verdict = createAdmission(LONG_QUEUE).decide(REQUEST);
    ok(verdict.kind === 'refused' && verdict.retryAfterMs !== null);
    const drained = Math.ceil((verdict.retryAfterMs / 1_000) * 10);
    const count = 19 - drained;
    const later = { ...LONG_QUEUE, queuedCount: count, accountQueuedCount: count };
    equal(createAdmission(later).decide(REQUEST).kind, 'admitted');
  });

  it('plans an account with its own short queue past the long queue of another', () => {
    const crowded = { ...LONG_QUEUE, queuedCount: 200, accountQueuedCount: 200 };
    equal(createAdmission(crowded).decide(REQUEST).kind, 'refused');
    const small = { ...crowded, accountQueuedCount: 0, accountShare: 0.5 };
    equal(createAdmission(small).decide(REQUEST).kind, 'admitted');
  });

  it('goes by measured latencies once there are enough', () => {
    const context = new FakeCoreContext();
    const latencies = new StageLatencies(context);
    const admission = new Admission(context, latencies, { getPoolLoad: () => IDLE });
    equal(admission.decide(REQUEST).kind, 'admitted');
    for (let index = 0; index < 20; index += 1) {
      latencies.record({
        pipelineId: toId('brief'), stageId: toId('generate'), latencyMs: 3_000, costMicros: 5,
      });
    }
    equal(admission.decide(REQUEST).kind, 'refused');
    equal(admission.getExpectedCostMicros(REQUEST), 105);
  });

  it('lets a request that has run stages go on while it still may end in time', () => {
    const crowded = { ...LONG_QUEUE, queuedCount: 200, accountQueuedCount: 200 };
    const verdict = createAdmission(crowded).decide({ ...REQUEST, nextStageIndex: 1 });
    equal(verdict.kind, 'admitted');
  });

  it('measures anew after a bad moment: one request at a time, and then all', () => {
    const context = new FakeCoreContext();
    const latencies = new StageLatencies(context);
    const admission = new Admission(context, latencies, { getPoolLoad: () => IDLE });
    const note = (latencyMs: number, count: number): void => {
      Array.from({ length: count }).forEach(() => latencies.record({
        pipelineId: toId('brief'), stageId: toId('generate'), latencyMs, costMicros: 1,
      }));
    };
    const decide = () => admission.decide({
      ...REQUEST, deadlineAtMs: context.getNowMs() + 2_000,
    }).kind;
    note(4_000, 40);
    equal(decide(), 'refused');
    context.clock.advance(500);
    equal(decide(), 'admitted');
    equal(decide(), 'refused');
    context.clock.advance(500);
    equal(decide(), 'admitted');
    note(900, 1_000);
    equal(decide(), 'admitted');
    equal(decide(), 'admitted');
  });
});
