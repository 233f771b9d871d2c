import { deepEqual, equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  toId, type HostId, type PoolId, type UpstreamId,
} from '../lib/ids.ts';
import { createPieces, createPlacementJob, type PlacementJob } from './PlacementJob.ts';
import { planBatches, type BatchSpace, type PieceGroup } from './planBatches.ts';
import { comparePrecedence } from './Precedence.ts';

interface GroupValues {
  readonly id: string;
  readonly pieceCount?: number;
  readonly resultBytes?: number;
  readonly priority?: number;
  readonly slackMs?: number;
  readonly canBeOnTime?: boolean;
  readonly needsOwnCall?: boolean;
  readonly failureDomain?: string;
  readonly inputBytes?: number;
}

function createJob(values: GroupValues): PlacementJob {
  const job = createPlacementJob({
    requestId: values.id,
    domains: ['a'],
    standingResults: [],
    hostId: toId<HostId>('host'),
    limitReports: [],
    openGenerations: [],
    account: null,
    kind: '',
    poolId: toId<PoolId>('engines'),
    stages: [{
      poolId: toId<PoolId>('pool'), after: [], resultBytes: values.resultBytes ?? 10,
    }],
    pieceCounts: [values.pieceCount ?? 1],
    pieceKey: '',
    parts: [],
    promptTokens: 1,
    maxOutputTokens: 1,
    priority: values.priority ?? 0,
    onTimeMs: 1_000,
    remainingMs: 5_000,
    excludedIds: [],
    softwareVersion: null,
    isPlacedAgain: false,
  }, 0, null, () => {});
  createPieces(job);
  return job;
}

function createGroup(values: GroupValues): PieceGroup {
  const job = createJob(values);
  const [stage] = job.stages;
  ok(stage);
  return {
    job,
    stage,
    pieces: stage.pieces,
    needsOwnCall: values.needsOwnCall ?? false,
    canBeOnTime: values.canBeOnTime ?? true,
    slackMs: values.slackMs ?? 500,
    failureDomain: values.failureDomain ?? null,
    inputBytes: values.inputBytes ?? 0,
  };
}

function createSpace(failureDomain: string, limits: Partial<BatchSpace> = {}): BatchSpace {
  return {
    makerId: toId<UpstreamId>(`maker-${failureDomain}`),
    failureDomain,
    maxPieces: 4,
    freeBytes: 1_000,
    ...limits,
  };
}

function plan(groups: PieceGroup[], spaces: BatchSpace[]): Record<string, string[]> {
  return Object.fromEntries(planBatches(groups, spaces).map((batch) => [
    batch.makerId, batch.pieces.map(({ job }) => job.request.requestId),
  ]));
}

describe('comparePrecedence', () => {
  it('orders by whether a group can be on time, then by priority, then by slack', () => {
    const groups = [
      createGroup({ id: 'late', canBeOnTime: false }),
      createGroup({ id: 'idle', slackMs: 900 }),
      createGroup({ id: 'minor', priority: 1, slackMs: 1 }),
      createGroup({ id: 'pressed', slackMs: 5 }),
    ];
    deepEqual(
      groups.sort(comparePrecedence).map((group) => group.job.request.requestId),
      ['pressed', 'idle', 'minor', 'late'],
    );
  });

  it('serves twice as many requests on time as order of arrival at double the capacity', () => {
    const callMs = 300;
    const runBurst = (isRanked: boolean): number => {
      let waiting = Array.from({ length: 80 }, (_, index) => ({
        id: `${index}`, arrivedAtMs: index * (callMs / 8),
      }));
      let onTimeCount = 0;
      for (let nowMs = 0; waiting.length > 0; nowMs += callMs) {
        const groups = waiting.filter((one) => one.arrivedAtMs <= nowMs).map((one) => {
          const slackMs = one.arrivedAtMs + 1_000 - nowMs - callMs;
          return createGroup({ id: one.id, slackMs, canBeOnTime: slackMs >= 0 });
        });
        const ordered = isRanked ? [...groups].sort(comparePrecedence) : groups;
        const [batch] = planBatches(ordered, [createSpace('a')]);
        const done = new Set(batch?.pieces.map(({ job }) => job.request.requestId));
        onTimeCount += groups
          .filter((group) => done.has(group.job.request.requestId) && group.canBeOnTime).length;
        waiting = waiting.filter((one) => !done.has(one.id));
      }
      return onTimeCount;
    };
    const inOrder = runBurst(false);
    const ranked = runBurst(true);
    ok(ranked >= inOrder * 2, `${ranked} on time against ${inOrder} in order of arrival`);
  });
});

describe('planBatches', () => {
  it('keeps a group whole when it fits into one call', () => {
    const groups = ['x', 'y'].map((id) => createGroup({ id, pieceCount: 3 }));
    deepEqual(plan(groups, [createSpace('a'), createSpace('b')]), {
      'maker-a': ['x', 'x', 'x'], 'maker-b': ['y', 'y', 'y'],
    });
  });

  it('fills one call before it starts another', () => {
    const groups = [createGroup({ id: 'x' }), createGroup({ id: 'y' })];
    deepEqual(plan(groups, [createSpace('a'), createSpace('b')]), { 'maker-a': ['x', 'y'] });
  });

  it('assigns no more pieces than there is memory for results', () => {
    const groups = [createGroup({ id: 'x', pieceCount: 4, resultBytes: 400 })];
    deepEqual(plan(groups, [createSpace('a')]), { 'maker-a': ['x', 'x'] });
  });

  it('keeps groups in their failure domains while each has an idle upstream', () => {
    const groups = ['a', 'b', 'c', 'a', 'b', 'c'].map((failureDomain, index) => (
      createGroup({ id: `${index}`, failureDomain, resultBytes: 100 })
    ));
    const spaces = ['a', 'b', 'c'].map((failureDomain) => createSpace(failureDomain));
    deepEqual(plan(groups, spaces), {
      'maker-a': ['0', '3'], 'maker-b': ['1', '4'], 'maker-c': ['2', '5'],
    });
  });

  it('makes a group with large inputs wait for a near upstream within its slack', () => {
    const group = createGroup({ id: 'x', failureDomain: 'b', inputBytes: 3_000_000 });
    const idle = [createSpace('a')];
    equal(planBatches([group], idle, [{ failureDomain: 'b', freeInMs: 100 }]).length, 0);
    equal(planBatches([group], idle, [{ failureDomain: 'b', freeInMs: 400 }]).length, 1);
    const late = { ...group, canBeOnTime: false };
    equal(planBatches([late], idle, [{ failureDomain: 'b', freeInMs: 100 }]).length, 1);
  });
});
