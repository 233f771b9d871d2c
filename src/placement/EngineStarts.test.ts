import { equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ENGINE_POOL_ID, PlacementTestBed } from '../../test/support/PlacementTestBed.ts';
import { toId, type PoolId, type UpstreamId } from '../lib/ids.ts';

const STAGE = { poolId: toId<PoolId>('first'), after: [], resultBytes: 1 };
const ENGINE_ID = toId<UpstreamId>(`${ENGINE_POOL_ID}-0`);
const GENERATION_COUNT = 30;

/** Runs generations without stages, one after the other. */
function runGenerations(bed: PlacementTestBed, kind: string, startMs: number): void {
  Array.from({ length: GENERATION_COUNT }).forEach((_, index) => {
    const requestId = `${kind} ${index}`;
    bed.place({ requestId, kind });
    bed.clock.advance(startMs);
    bed.coordinator.handleReport({ requestId, upstreamId: ENGINE_ID, kind: 'started' });
    bed.coordinator.handleReport({ requestId, upstreamId: ENGINE_ID, kind: 'ended' });
  });
}

describe('the time that a generation takes to start', () => {
  it('does not count long prompts against a kind of request with short ones', () => {
    const bed = new PlacementTestBed({ first: { makers: 1 } });
    runGenerations(bed, 'short', 30);
    runGenerations(bed, 'long', 800);
    const request = { stages: [STAGE], onTimeMs: 900, remainingMs: 1_100 };
    bed.place({
      ...request, requestId: 'before', kind: 'short', pieceCounts: [30],
    });
    ['short', 'long'].forEach((kind) => {
      bed.place({ ...request, requestId: `new ${kind}`, kind });
    });
    equal(bed.results.get('new short'), undefined);
    equal(bed.results.get('new long')?.kind, 'refused');
  });
});
