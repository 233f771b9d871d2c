import { deepEqual } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { PlacementTestBed } from '../../test/support/PlacementTestBed.ts';
import { toId, type PoolId } from '../lib/ids.ts';

const STAGES = [{ poolId: toId<PoolId>('first'), after: [], resultBytes: 1 }];

describe('the line of a refused request', () => {
  it('tells its class and what waits before it', () => {
    const bed = new PlacementTestBed({ first: { makers: 1 } });
    bed.startLogging();
    bed.place({
      requestId: 'urgent', kind: 'chat', priority: 0, stages: STAGES, pieceCounts: [20],
    });
    bed.place({
      requestId: 'idle', kind: 'bulk', priority: 2, stages: STAGES, pieceCounts: [30],
    });
    bed.place({
      requestId: 'late', kind: 'talk', priority: 1, stages: STAGES, onTimeMs: 250, remainingMs: 900,
    });
    const refused = bed.lines.find(({ requestId }) => requestId === 'late');
    const {
      event, kind, priority, onTimeMs, leastMs, firstMs, expectedMs, allowedMs, waiting, makers,
    } = refused ?? {};
    deepEqual({
      event, kind, priority, onTimeMs, leastMs, firstMs, expectedMs, allowedMs, waiting, makers,
    }, {
      event: 'placementRefused',
      kind: 'talk',
      priority: 1,
      onTimeMs: 250,
      leastMs: 210,
      firstMs: 510,
      expectedMs: 1_410,
      allowedMs: 450,
      waiting: [
        { priority: 0, count: 1, onTimeCount: 1 },
        { priority: 2, count: 1, onTimeCount: 1 },
      ],
      makers: [{
        poolId: 'first', count: 1, idleCount: 0, avoidedCount: 0, freeBytes: 949_990,
      }],
    });
  });
});
