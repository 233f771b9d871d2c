import { deepEqual, equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { PlacementTestBed } from '../../test/support/PlacementTestBed.ts';
import { UNLIMITED_RETRIES } from '../../test/support/UNLIMITED_RETRIES.ts';
import { createHostChange } from '../../test/support/createHostChange.ts';
import type { Directory } from '../directory/Directory.ts';
import type { RouteStage } from '../directory/ServingConfiguration.ts';
import {
  toId, type HostId, type PoolId, type UpstreamId,
} from '../lib/ids.ts';
import { LimitCoordinators, TAKEOVER_DELAY_MS } from '../rates/LimitCoordinators.ts';
import { SendRateLimiter } from '../rates/SendRateLimiter.ts';
import type { ManualClock } from '../time/ManualClock.ts';

const HOST_ID = toId<HostId>('host');
const STAGE: RouteStage = { poolId: toId<PoolId>('first'), after: [], resultBytes: 1 };
const STEP_MS = 20;
const WINDOW_MS = 4_000;

function createRates(clock: ManualClock, directory: Directory): SendRateLimiter {
  return new SendRateLimiter({
    clock,
    hostId: HOST_ID,
    directory,
    coordinators: new LimitCoordinators({
      clock,
      hostId: HOST_ID,
      directory,
      isRegistered: () => true,
      logger: pino({ level: 'silent' }),
    }),
  });
}

/** Creates a placement coordinator on a host that is the settled limit coordinator too. */
async function createBed(makers: number, engineCount: number): Promise<PlacementTestBed> {
  const bed = new PlacementTestBed(
    { first: { makers } },
    engineCount,
    () => UNLIMITED_RETRIES,
    createRates,
  );
  bed.directory.apply(createHostChange(HOST_ID, { failureDomain: 'a' }));
  await Promise.resolve();
  bed.clock.advance(TAKEOVER_DELAY_MS);
  bed.directory.recordConfirmation();
  return bed;
}

function nameLimit(bed: PlacementTestBed, name: string, requestsPerSecond: number | null): void {
  const nowMs = bed.clock.getMonotonicMs();
  bed.directory.apply({
    kind: 'upstreamLimit',
    advertisedLimit: {
      lifetime: { id: toId<UpstreamId>(name), startedAtMs: null },
      requestsPerSecond,
      requestSentAtMs: nowMs,
      receivedAtMs: nowMs,
    },
    source: { kind: 'answer', requestId: 'r', status: 200 },
  });
}

/** Advances the time in steps, and runs the coordinator after each. */
function runFor(bed: PlacementTestBed, durationMs: number, action: (atMs: number) => void): void {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
    bed.clock.advance(STEP_MS);
    bed.directory.recordConfirmation();
    action(elapsedMs);
    bed.coordinator.run();
  }
}

function getPlaced(bed: PlacementTestBed, engineId: string): string[] {
  return [...bed.results]
    .filter(([, result]) => result.kind === 'placed' && result.upstreamId === engineId)
    .map(([requestId]) => requestId);
}

describe('placements on upstreams that advertise limits', () => {
  it('keep within the limit of an engine, and use the others for the rest', async () => {
    const bed = await createBed(1, 2);
    nameLimit(bed, 'engines-0', 1);
    runFor(bed, WINDOW_MS, (atMs) => {
      bed.place({ requestId: `r${atMs}` });
      ['engines-0', 'engines-1'].forEach((name) => bed.coordinator.handleReport({
        requestId: `r${atMs}`, upstreamId: toId<UpstreamId>(name), kind: 'ended',
      }));
    });
    const count = getPlaced(bed, 'engines-0').length;
    ok(count >= 2 && count <= 5, `${count} requests placed on the limited engine`);
    equal(getPlaced(bed, 'engines-1').length, WINDOW_MS / STEP_MS - count);
  });

  it('serve the most urgent first, and refuse at once what gets no permit in time', async () => {
    const bed = await createBed(1, 1);
    nameLimit(bed, 'engines-0', 1);
    ['a', 'b', 'c', 'd'].forEach((name) => bed.place({ requestId: name, priority: 1 }));
    deepEqual([...bed.results.keys()], ['c', 'd']);
    const refusal = bed.results.get('d');
    ok(refusal?.kind === 'refused' && refusal.reason === 'limited');
    ok(refusal.retryAfterMs > 1_000, `${refusal.retryAfterMs} ms`);
    bed.place({ requestId: 'urgent', priority: 0 });
    runFor(bed, 1_100, () => {});
    deepEqual(getPlaced(bed, 'engines-0'), ['urgent']);
  });

  it('do not refuse a request for those that it goes before', async () => {
    const bed = await createBed(1, 1);
    nameLimit(bed, 'engines-0', 1);
    ['a', 'b', 'c'].forEach((requestId) => bed.place({ requestId, onTimeMs: 5_000 }));
    bed.place({ requestId: 'pressed', onTimeMs: 1_500 });
    runFor(bed, 1_100, () => {});
    deepEqual(getPlaced(bed, 'engines-0'), ['pressed']);
  });

  it('report a lifted limit to the requesting host', async () => {
    const bed = await createBed(1, 1);
    nameLimit(bed, 'engines-0', 1);
    bed.clock.advance(1_000);
    nameLimit(bed, 'engines-0', null);
    bed.place({ requestId: 'r' });
    const result = bed.results.get('r');
    ok(result?.kind === 'placed');
    equal(result.leave, null);
    deepEqual(
      result.limitReports.map(({ upstreamId, requestsPerSecond }) => (
        [upstreamId, requestsPerSecond])),
      [['engines-0', null]],
    );
  });

  it('keep calls and releases at a stage upstream within its limit', async () => {
    const bed = await createBed(1, 1);
    nameLimit(bed, 'first-0', 2);
    const sentAtMs: number[] = [];
    runFor(bed, WINDOW_MS * 2, (atMs) => {
      if (atMs % 200 === 0) {
        bed.place({ requestId: `r${atMs}`, stages: [STAGE] });
      }
      const calls = bed.takeCalls();
      calls.forEach((call) => bed.complete(call));
      const nowMs = bed.clock.getMonotonicMs();
      calls.forEach(() => sentAtMs.push(nowMs));
      if (bed.released.splice(0).length > 0) {
        sentAtMs.push(nowMs);
      }
      getPlaced(bed, 'engines-0').forEach((requestId) => bed.coordinator.handleReport({
        requestId, upstreamId: toId<UpstreamId>('engines-0'), kind: 'started',
      }));
    });
    const counts = sentAtMs.map((endMs) => (
      sentAtMs.filter((atMs) => atMs <= endMs && atMs > endMs - WINDOW_MS).length));
    ok(sentAtMs.length >= 8, `only ${sentAtMs.length} sends`);
    ok(Math.max(...counts) <= 17, `${Math.max(...counts)} sends in 4 s`);
  });
});
