import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { PlacementTestBed } from '../../test/support/PlacementTestBed.ts';
import type { Directory } from '../directory/Directory.ts';
import type { RouteStage } from '../directory/ServingConfiguration.ts';
import { toId, type HostId, type PoolId } from '../lib/ids.ts';
import { HostShares } from '../relay/HostShares.ts';
import { RelayMetrics } from '../relay/RelayMetrics.ts';
import type { ManualClock } from '../time/ManualClock.ts';
import type { StageCall } from './StageCall.ts';

const STAGE: RouteStage = { poolId: toId<PoolId>('first'), after: [], resultBytes: 1_000 };
/** Required bound on retries in a window: a ratio of first attempts, plus a slack at any load. */
const RATIO = 0.2;
const SLACK = 52;
const WINDOW_MS = 10_000;
const STEP_MS = 20;
const REQUEST_EVERY_MS = 200;
/** Upstreams that a request may crash before it must be detected, plus crashes allowed later. */
const MAX_ENDED = 3 + 3;

function createShares(clock: ManualClock, directory: Directory): HostShares {
  return new HostShares({
    clock,
    hostId: toId<HostId>('host'),
    directory,
    bounds: {
      retryRatio: RATIO,
      retrySlack: SLACK,
      retryWindowMs: WINDOW_MS,
      coldOvershoot: 1,
      coldSlack: 1,
    },
    logger: pino({ level: 'silent' }),
    metrics: new RelayMetrics(),
  });
}

interface Send {
  readonly atMs: number;
  readonly isRepeat: boolean;
}

/** Places requests for a while on upstreams that end each call in the same way. */
function collectSends(
  lengthMs: number,
  end: (bed: PlacementTestBed, call: StageCall) => void,
): Send[] {
  const bed = new PlacementTestBed({ first: { makers: 4 } }, 1, createShares);
  const seen = new Set<string>();
  const sends: Send[] = [];
  for (let nowMs = 0; nowMs < lengthMs; nowMs += STEP_MS) {
    bed.clock.advance(STEP_MS);
    if (nowMs % REQUEST_EVERY_MS === 0) {
      bed.place({ requestId: `r${nowMs}`, stages: [STAGE], pieceCounts: [3] });
    }
    bed.coordinator.run();
    bed.takeCalls().forEach((call) => {
      call.items.forEach(({ requestId, pieceIndex }) => {
        const unit = `${requestId} ${pieceIndex}`;
        sends.push({ atMs: nowMs, isRepeat: seen.has(unit) });
        seen.add(unit);
      });
      end(bed, call);
    });
  }
  return sends;
}

function findExcess(sends: readonly Send[]): string | null {
  const excess = sends.map(({ atMs }) => {
    const within = sends.filter((send) => send.atMs > atMs - WINDOW_MS && send.atMs <= atMs);
    const repeatCount = within.filter(({ isRepeat }) => isRepeat).length;
    return { repeatCount, allowed: RATIO * (within.length - repeatCount) + SLACK };
  }).find(({ repeatCount, allowed }) => repeatCount > allowed);
  return excess === undefined ? null : `${excess.repeatCount} retries, ${excess.allowed} allowed`;
}

function isBad(call: StageCall): boolean {
  return call.items.some(({ requestId }) => requestId === 'bad');
}

describe('retries of pieces', () => {
  it('stay within their bound while upstreams refuse the calls', () => {
    const sends = collectSends(15_000, (bed, call) => {
      bed.coordinator.finishCall(call, { kind: 'notRun' });
    });
    const excess = findExcess(sends);
    ok(excess === null, excess ?? '');
  });

  it('stay within their bound while upstreams lack memory', () => {
    const sends = collectSends(15_000, (bed, call) => {
      bed.answer(call, call.items.map(() => ({ kind: 'failure', failure: 'noRoom' })));
    });
    const excess = findExcess(sends);
    ok(excess === null, excess ?? '');
  });

  it('stop for a piece that crashes the upstreams that run it', () => {
    const bed = new PlacementTestBed({ first: { makers: 8 } }, 1, createShares);
    const ended: StageCall[] = [];
    bed.place({
      requestId: 'bad', stages: [STAGE], pieceCounts: [1], remainingMs: 30_000,
    });
    for (let nowMs = 0; nowMs < 20_000; nowMs += STEP_MS) {
      bed.clock.advance(STEP_MS);
      if (nowMs % REQUEST_EVERY_MS === 0) {
        bed.place({ requestId: `r${nowMs}`, stages: [STAGE], pieceCounts: [3] });
      }
      bed.coordinator.run();
      const calls = bed.takeCalls();
      ended.push(...calls.filter(isBad));
      calls.filter(isBad).forEach((call) => (
        bed.coordinator.finishCall(call, { kind: 'broken', detail: 'other side closed' })));
      calls.filter((call) => !isBad(call)).forEach((call) => bed.complete(call));
    }
    ok(ended.length <= MAX_ENDED, `${ended.length} upstreams crashed`);
  });

  it('answers a request whose piece shared calls with one that crashes upstreams', () => {
    const bed = new PlacementTestBed({ first: { makers: 1 } });
    const shared: StageCall[] = [];
    ['bad', 'good'].forEach((requestId) => bed.place({
      requestId, stages: [STAGE], pieceCounts: [1], remainingMs: 30_000,
    }));
    for (let nowMs = 0; nowMs < 20_000; nowMs += STEP_MS) {
      bed.clock.advance(STEP_MS);
      bed.coordinator.run();
      const calls = bed.takeCalls();
      shared.push(...calls.filter((call) => isBad(call) && call.items.length > 1));
      calls.filter(isBad).forEach((call) => (
        bed.coordinator.finishCall(call, { kind: 'broken', detail: 'other side closed' })));
      calls.filter((call) => !isBad(call)).forEach((call) => bed.complete(call));
    }
    ok(shared.length > 0, 'no call was shared');
    equal(bed.results.get('bad')?.kind, 'refused');
    equal(bed.results.get('good')?.kind, 'placed');
  });
});
