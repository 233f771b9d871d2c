import { deepEqual, equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { PlacementTestBed } from '../../test/support/PlacementTestBed.ts';
import type { RouteStage } from '../directory/ServingConfiguration.ts';
import { HAND_OVER_REASON } from './HAND_OVER_REASON.ts';
import { toId, type PoolId, type UpstreamId } from '../lib/ids.ts';

const FIRST: RouteStage = { poolId: toId<PoolId>('first'), after: [], resultBytes: 1_000 };
const SECOND: RouteStage = { poolId: toId<PoolId>('second'), after: [0], resultBytes: 1_000 };

describe('PlacementCoordinator', () => {
  it('runs stages in order, and passes the last results to the engine', () => {
    const bed = new PlacementTestBed({ first: { makers: 1 }, second: { makers: 1 } });
    bed.place({ requestId: 'r', stages: [FIRST, SECOND], pieceCounts: [2, 3] });
    const [firstCall] = bed.takeCalls();
    ok(firstCall);
    deepEqual(firstCall.items.map((item) => item.key), ['key', 'key']);
    bed.complete(firstCall);
    const [secondCall] = bed.takeCalls();
    ok(secondCall);
    deepEqual(secondCall.items.map((item) => item.inputs.length), [2, 2, 2]);
    bed.complete(secondCall);
    const result = bed.results.get('r');
    equal(result?.kind === 'placed' && result.inputs.length, 3);
  });

  it('runs the pieces and generations of a group in its own failure domains', () => {
    const bed = new PlacementTestBed({ first: { makers: 6 } }, 6);
    ['r1', 'r2', 'r3'].forEach((requestId) => {
      bed.place({
        requestId, stages: [FIRST], pieceCounts: [30], domains: ['b'],
      });
    });
    const calls = bed.takeCalls();
    deepEqual(new Set(calls.map((call) => call.makerId)), new Set(['first-1', 'first-4']));
    while (bed.results.size < 3) {
      [...calls.splice(0), ...bed.takeCalls()].forEach((call) => bed.complete(call));
    }
    bed.results.forEach((result) => {
      ok(result.kind === 'placed' && ['engines-1', 'engines-4'].includes(result.upstreamId));
    });
  });

  it('uses engines of other failure domains when all those of its own are excluded', () => {
    const bed = new PlacementTestBed({ first: { makers: 3 } }, 3);
    bed.place({ requestId: 'r', domains: ['b'], excludedIds: [toId<UpstreamId>('engines-1')] });
    const result = bed.results.get('r');
    ok(result?.kind === 'placed');
    ok(['engines-0', 'engines-2'].includes(result.upstreamId));
  });

  it('refuses at once when the upstreams of a stage back off beyond the deadline', () => {
    const bed = new PlacementTestBed({ first: { makers: 2 } });
    ['first-0', 'first-1'].forEach((name, index) => bed.directory.apply({
      kind: 'upstreamBackOff',
      upstreamId: toId<UpstreamId>(name),
      durationMs: 20_000 + index,
      source: { requestId: 'r', status: 503 },
    }));
    bed.place({ requestId: 'r', stages: [FIRST], remainingMs: 6_000 });
    const result = bed.results.get('r');
    ok(result?.kind === 'refused');
    ok(result.retryAfterMs > 14_000 && result.retryAfterMs < 21_000, `${result.retryAfterMs} ms`);
    deepEqual(bed.takeCalls(), []);
  });

  it('releases results at an upstream that backs off only after its back-off', () => {
    const bed = new PlacementTestBed({ first: { makers: 1 } });
    bed.place({ requestId: 'r', stages: [FIRST], pieceCounts: [2] });
    bed.takeCalls().forEach((call) => bed.complete(call));
    bed.directory.apply({
      kind: 'upstreamBackOff',
      upstreamId: toId<UpstreamId>('first-0'),
      durationMs: 1_000,
      source: { requestId: 'r', status: 503 },
    });
    bed.coordinator.handleReport({
      requestId: 'r', upstreamId: toId<UpstreamId>('engines-0'), kind: 'started',
    });
    deepEqual(bed.released, []);
    bed.clock.advance(1_000);
    bed.coordinator.run();
    equal(bed.released.length, 2);
  });

  it('keeps the results of a request that its engine did not accept', () => {
    const bed = new PlacementTestBed({ first: { makers: 1 } }, 2);
    bed.place({ requestId: 'r', stages: [FIRST], pieceCounts: [2] });
    bed.takeCalls().forEach((call) => bed.complete(call));
    const placed = bed.results.get('r');
    ok(placed?.kind === 'placed');
    bed.coordinator.handleReport({
      requestId: 'r', upstreamId: placed.upstreamId, kind: 'unreachable',
    });
    bed.place({
      requestId: 'r',
      stages: [FIRST],
      pieceCounts: [2],
      excludedIds: [placed.upstreamId],
      isPlacedAgain: true,
    });
    deepEqual(bed.takeCalls(), []);
    deepEqual(bed.released, []);
    const again = bed.results.get('r');
    ok(again?.kind === 'placed');
    deepEqual(again.inputs, placed.inputs);
    equal(again.upstreamId === placed.upstreamId, false);
  });

  it('runs all stages again for a request whose engine failed during the generation', () => {
    const bed = new PlacementTestBed({ first: { makers: 1 } }, 2);
    bed.place({ requestId: 'r', stages: [FIRST], pieceCounts: [2] });
    bed.takeCalls().forEach((call) => bed.complete(call));
    const placed = bed.results.get('r');
    ok(placed?.kind === 'placed');
    bed.coordinator.handleReport({ requestId: 'r', upstreamId: placed.upstreamId, kind: 'failed' });
    bed.place({
      requestId: 'r', stages: [FIRST], pieceCounts: [2], isPlacedAgain: true,
    });
    equal(bed.takeCalls().flatMap(({ items }) => items).length, 2);
    equal(bed.released.length, 2);
  });

  it('runs pieces again when their upstream goes while the request waits for an engine', () => {
    const bed = new PlacementTestBed({ first: { makers: 2 } }, 0);
    bed.place({ requestId: 'r', stages: [FIRST], pieceCounts: [1] });
    const [call] = bed.takeCalls();
    ok(call);
    bed.complete(call);
    bed.directory.apply({ kind: 'upstreamGone', upstreamId: call.makerId });
    bed.addEngine('late');
    bed.coordinator.run();
    equal(bed.results.get('r'), undefined);
    bed.takeCalls().forEach((again) => bed.complete(again));
    const result = bed.results.get('r');
    equal(result?.kind === 'placed' && result.inputs.length, 1);
  });

  it('states in a handover whether unfinished pieces were sent', () => {
    const bed = new PlacementTestBed({ first: { makers: 1, batch: { maxPieces: 1 } } });
    ['sent', 'waiting'].forEach((requestId) => {
      bed.place({ requestId, stages: [FIRST], pieceCounts: [1] });
    });
    const [call] = bed.takeCalls();
    ok(call);
    bed.coordinator.setHandingOver(HAND_OVER_REASON.leaving);
    bed.coordinator.finishCall(call, { kind: 'notRun' });
    bed.coordinator.run();
    const wereSent = ['sent', 'waiting'].map((requestId) => {
      const result = bed.results.get(requestId);
      return result?.kind === 'handedOver' && result.wereSent;
    });
    deepEqual(wereSent, [true, false]);
  });

  it('keeps the order of priority when a group loses a failure domain', () => {
    const bed = new PlacementTestBed({ first: { makers: 2, batch: { maxPieces: 4 } } });
    bed.place({ requestId: 'running', stages: [FIRST], pieceCounts: [8] });
    const calls = bed.takeCalls();
    bed.place({
      requestId: 'minor', stages: [FIRST], pieceCounts: [8], priority: 1,
    });
    bed.place({
      requestId: 'urgent', stages: [FIRST], pieceCounts: [8], domains: ['a', 'b'],
    });
    calls.forEach((call) => bed.complete(call));
    bed.takeCalls().forEach(({ items }) => items.forEach(({ requestId }) => {
      equal(requestId, 'urgent');
    }));
  });

  it('refuses at once only a late request that takes most of its time', () => {
    const bed = new PlacementTestBed({ first: { makers: 1, batch: { maxPieces: 5 } } });
    const place = (requestId: string, onTimeMs: number, remainingMs: number): void => {
      bed.place({
        requestId, stages: [FIRST], pieceCounts: [5], onTimeMs, remainingMs,
      });
    };
    Array.from({ length: 12 }, (_, index) => place(`before-${index}`, 900, 10_000));
    place('doomed', 1_000, 5_000);
    place('late', 1_000, 9_000);
    place('onTime', 4_500, 5_000);
    equal(bed.results.get('doomed')?.kind, 'refused');
    equal(bed.results.get('late'), undefined);
    equal(bed.results.get('onTime'), undefined);
  });

  it('does not refuse a request for a queue that it goes before', () => {
    const bed = new PlacementTestBed({ first: { makers: 1, batch: { maxPieces: 5 } } });
    const place = (requestId: string, onTimeMs: number): void => {
      bed.place({
        requestId, stages: [FIRST], pieceCounts: [5], onTimeMs, remainingMs: 5_000,
      });
    };
    Array.from({ length: 12 }, (_, index) => place(`before-${index}`, 4_500));
    place('pressed', 1_000);
    equal(bed.results.get('pressed'), undefined);
    bed.takeCalls().forEach((call) => bed.complete(call));
    deepEqual(bed.takeCalls()[0]?.items[0]?.requestId, 'pressed');
  });

  it('hands a request over with its existing results once none of its pieces is running', () => {
    const third: RouteStage = { poolId: toId<PoolId>('second'), after: [1], resultBytes: 1_000 };
    const makers = { first: { makers: 1 }, second: { makers: 1 } };
    const stages = [FIRST, SECOND, third];
    const before = new PlacementTestBed(makers);
    before.place({ requestId: 'r', stages, pieceCounts: [2, 3, 1] });
    before.takeCalls().forEach((call) => before.complete(call));
    before.coordinator.setHandingOver(HAND_OVER_REASON.leaving);
    deepEqual(before.results.size, 0);
    before.takeCalls().forEach((call) => before.complete(call));
    const result = before.results.get('r');
    ok(result?.kind === 'handedOver');
    deepEqual(result.results.map(({ stageIndex }) => stageIndex), [1, 1, 1]);
    const after = new PlacementTestBed(makers);
    after.place({
      requestId: 'r', stages, pieceCounts: [2, 3, 1], standingResults: result.results,
    });
    const items = after.takeCalls().flatMap((call) => call.items);
    deepEqual(items.map(({ stageIndex, inputs }) => [stageIndex, inputs.length]), [[2, 3]]);
  });

  it('hands over at once a request that arrives while it is leaving', () => {
    const bed = new PlacementTestBed({ first: { makers: 1 } });
    bed.coordinator.setHandingOver(HAND_OVER_REASON.leaving);
    bed.place({ requestId: 'r', stages: [FIRST], pieceCounts: [1] });
    equal(bed.results.get('r')?.kind, 'handedOver');
    equal(bed.takeCalls().length, 0);
  });

  it('hands over requests with running pieces when its host reaches no upstream', () => {
    const bed = new PlacementTestBed({ first: { makers: 2 } });
    bed.place({ requestId: 'r', stages: [FIRST], pieceCounts: [1] });
    const [call] = bed.takeCalls();
    ok(call);
    bed.coordinator.setHandingOver(HAND_OVER_REASON.cutOff);
    bed.coordinator.run();
    const result = bed.results.get('r');
    equal(result?.kind === 'handedOver' && result.wereSent, true);
    bed.coordinator.finishCall(call, { kind: 'broken', detail: 'timeout' });
    bed.coordinator.setHandingOver(null);
    bed.place({ requestId: 'next', stages: [FIRST], pieceCounts: [1] });
    equal(bed.takeCalls().length, 1);
  });

  it('releases results as soon as they are not needed', () => {
    const bed = new PlacementTestBed({ first: { makers: 1 }, second: { makers: 1 } });
    bed.place({ requestId: 'r', stages: [FIRST, SECOND] });
    bed.takeCalls().forEach((call) => bed.complete(call));
    deepEqual(bed.released, []);
    bed.takeCalls().forEach((call) => bed.complete(call));
    deepEqual(bed.released, ['first-0/1']);
    bed.coordinator.handleReport({
      requestId: 'r', upstreamId: toId<UpstreamId>('engines-0'), kind: 'started',
    });
    bed.coordinator.run();
    deepEqual(bed.released, ['first-0/1', 'second-0/2']);
  });

  it('does not reuse memory before the upstream has released the results', () => {
    const batch = { roomBytes: 2_200, maxPieces: 2 };
    const bed = new PlacementTestBed({ first: { makers: 1, batch }, second: { makers: 1 } });
    bed.place({ requestId: 'r1', stages: [FIRST, SECOND], pieceCounts: [2, 1] });
    bed.place({ requestId: 'r2', stages: [FIRST], pieceCounts: [1] });
    const [firstCall] = bed.takeCalls();
    ok(firstCall);
    bed.complete(firstCall);
    const [secondCall] = bed.takeCalls();
    ok(secondCall);
    bed.complete(secondCall);
    bed.coordinator.run();
    deepEqual([bed.released.length, bed.takeCalls().length], [2, 0]);
    bed.coordinator.recordReleased(bed.released);
    equal(bed.takeCalls().length, 1);
  });

  it('reserves memory for results whose answer was lost, until they expire', () => {
    const batch = { roomBytes: 2_200, maxPieces: 2, resultTtlMs: 4_000 };
    const bed = new PlacementTestBed({ first: { makers: 1, batch } });
    bed.place({
      requestId: 'r', stages: [FIRST], pieceCounts: [2], remainingMs: 9_000,
    });
    const [call] = bed.takeCalls();
    ok(call);
    bed.coordinator.finishCall(call, { kind: 'broken', detail: 'reset' });
    bed.clock.advance(3_000);
    bed.coordinator.run();
    equal(bed.takeCalls().length, 0);
    bed.clock.advance(1_000);
    bed.coordinator.run();
    equal(bed.takeCalls().length, 1);
  });

  it('runs the earlier stage again when an upstream goes with results of the later one', () => {
    const bed = new PlacementTestBed({ first: { makers: 1 }, second: { makers: 2 } });
    bed.place({ requestId: 'r', stages: [FIRST, SECOND], pieceCounts: [1, 11] });
    bed.takeCalls().forEach((call) => bed.complete(call));
    const [tenPieces, onePiece] = bed.takeCalls();
    ok(tenPieces !== undefined && onePiece !== undefined);
    bed.complete(tenPieces);
    bed.complete(onePiece);
    bed.place({ requestId: 'other', stages: [FIRST], pieceCounts: [1] });
    bed.takeCalls();
    const upstreamId = toId<UpstreamId>('engines-0');
    bed.coordinator.handleReport({ requestId: 'r', upstreamId, kind: 'unreachable' });
    bed.directory.apply({ kind: 'upstreamGone', upstreamId: tenPieces.makerId });
    bed.coordinator.run();
    bed.takeCalls().forEach((call) => call.items.forEach((item) => {
      ok(item.key !== null || item.inputs.length > 0, 'a piece was sent without its inputs');
    }));
  });

  it('never sends a piece without all its inputs after all upstreams of a stage are gone', () => {
    const bed = new PlacementTestBed({ first: { makers: 2 }, second: { makers: 2 } }, 0);
    bed.place({ requestId: 'r', stages: [FIRST, SECOND], pieceCounts: [2, 4] });
    bed.takeCalls().forEach((call) => bed.complete(call));
    bed.takeCalls().forEach((call) => bed.complete(call));
    ['second-0', 'second-1'].forEach((makerId) => {
      bed.directory.apply({ kind: 'upstreamGone', upstreamId: toId<UpstreamId>(makerId) });
    });
    bed.directory.apply({
      kind: 'upstream',
      entry: {
        id: toId<UpstreamId>('second-2'),
        poolId: toId<PoolId>('second'),
        address: 'second:2',
        failureDomain: 'a',
        isDraining: false,
        slots: 1,
        softwareVersion: 'v1',
        coldRemainingMs: 0,
        startedAtMs: null,
      },
    });
    bed.coordinator.run();
    const calls = bed.takeCalls();
    ok(calls.length > 0);
    calls.forEach((call) => call.items.forEach((item) => {
      equal(item.key === null ? item.inputs.length : 2, 2);
    }));
  });
});
