import { deepEqual, equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { measureHeapGrowth } from '../../test/support/measureHeapGrowth.ts';
import { MAX_HELD_PIECES, PlacementTestBed } from '../../test/support/PlacementTestBed.ts';
import type { RouteStage } from '../directory/ServingConfiguration.ts';
import { toId, type PoolId } from '../lib/ids.ts';
import { REFUSAL } from './PlacementRequest.ts';

const STAGE: RouteStage = { poolId: toId<PoolId>('first'), after: [], resultBytes: 1_000 };
const MAX_GROWTH_BYTES = 20_000_000;

/** Places requests with equal numbers of pieces; returns the reasons of the refusals. */
function placeMany(bed: PlacementTestBed, requestCount: number, pieceCount: number): string[] {
  return Array.from({ length: requestCount }, (_, index) => {
    const requestId = `r${index}`;
    bed.place({ requestId, stages: [STAGE], pieceCounts: [pieceCount] });
    const result = bed.results.get(requestId);
    return result?.kind === 'refused' ? result.reason : '';
  });
}

describe('requests that name many pieces', () => {
  it('refuses a request with more pieces than a host holds, without memory for them', () => {
    const bed = new PlacementTestBed({ first: { makers: 1 } });
    const counts = [MAX_HELD_PIECES + 1, 999_999, 5_000_000];
    const growthBytes = measureHeapGrowth(() => {
      counts.forEach((count) => (
        deepEqual(placeMany(bed, 1, count), [REFUSAL.tooManyPieces])));
    });
    ok(growthBytes < MAX_GROWTH_BYTES, `${growthBytes} bytes`);
    deepEqual(bed.takeCalls(), []);
  });

  it('keeps no memory for the pieces of requests that it refuses', () => {
    const bed = new PlacementTestBed({ first: { makers: 1 } });
    const growthBytes = measureHeapGrowth(() => {
      const reasons = placeMany(bed, 100, MAX_HELD_PIECES);
      ok(reasons.every((reason) => reason === REFUSAL.tooLate));
    });
    ok(growthBytes < MAX_GROWTH_BYTES, `${growthBytes} bytes`);
  });

  it('bounds the pieces of all requests that wait for upstreams', () => {
    const bed = new PlacementTestBed({ first: { makers: 0 } });
    const reasons = placeMany(bed, 200, 100);
    equal(reasons.filter((reason) => reason === '').length, MAX_HELD_PIECES / 100);
    ok(reasons.every((reason) => reason === '' || reason === REFUSAL.tooManyPieces));
  });

  it('has room again once the requests that filled it have ended', () => {
    const bed = new PlacementTestBed({ first: { makers: 0 } });
    placeMany(bed, 100, 100);
    bed.clock.advance(7_000);
    bed.coordinator.run();
    bed.place({ requestId: 'next', stages: [STAGE], pieceCounts: [100] });
    equal(bed.results.get('next'), undefined);
  });
});
