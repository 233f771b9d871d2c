import { deepEqual } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { createHostChange } from '../../test/support/createHostChange.ts';
import { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import {
  toId, type HostId, type PoolId, type UpstreamId,
} from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { LimitMonitor } from './LimitMonitor.ts';
import { LimitCoordinators, TAKEOVER_DELAY_MS } from './LimitCoordinators.ts';

const UPSTREAM: UpstreamEntry = {
  id: toId<UpstreamId>('u'),
  startedAtMs: 1,
  poolId: toId<PoolId>('pool'),
  address: 'u:1',
  failureDomain: 'a',
  isDraining: false,
  slots: 1,
  softwareVersion: 'v1',
  coldRemainingMs: 0,
};

/** Times at which a host probes an upstream that advertises a limit at 0 ms and gets nothing. */
async function getProbeTimes(hostId: string, durationMs: number): Promise<number[]> {
  const clock = new ManualClock();
  const directory = new Directory(clock);
  const probedAtMs: number[] = [];
  const monitor = new LimitMonitor({
    clock,
    directory,
    coordinators: new LimitCoordinators({
      clock,
      hostId: toId<HostId>(hostId),
      directory,
      isRegistered: () => true,
      logger: pino({ level: 'silent' }),
    }),
    check: {
      check: async () => {
        probedAtMs.push(clock.getMonotonicMs());
        return 'alive';
      },
    },
  });
  directory.apply(createHostChange('coordinator', { registeredRevision: 1 }));
  directory.apply(createHostChange('other', { registeredRevision: 2 }));
  directory.apply({ kind: 'upstream', entry: UPSTREAM });
  await Promise.resolve();
  clock.advance(TAKEOVER_DELAY_MS);
  directory.apply({
    kind: 'upstreamLimit',
    advertisedLimit: {
      lifetime: UPSTREAM,
      requestsPerSecond: 0,
      requestSentAtMs: clock.getMonotonicMs(),
      receivedAtMs: clock.getMonotonicMs(),
    },
    source: { kind: 'answer', requestId: 'r', status: 200 },
  });
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 500) {
    clock.advance(500);
    directory.recordConfirmation();
    monitor.probeSilentUpstreams();
  }
  monitor.close();
  return probedAtMs.map((atMs) => atMs - TAKEOVER_DELAY_MS);
}

describe('LimitMonitor', () => {
  it('probes a silent upstream every 4 s when this host is its coordinator', async () => {
    deepEqual(await getProbeTimes('coordinator', 13_000), [4_000, 8_000, 12_000]);
  });

  it('probes only after 40 s of silence when another host is the coordinator', async () => {
    deepEqual(await getProbeTimes('other', 13_000), []);
    deepEqual(await getProbeTimes('other', 41_000), [40_000]);
  });
});
