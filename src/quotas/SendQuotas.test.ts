import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createHostChange } from '../../test/support/createHostChange.ts';
import { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import { toId, type PoolId, type UpstreamId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { SendQuotas } from './SendQuotas.ts';

const POOL_ID = toId<PoolId>('pool');
/** As in the sheet of a deployment: 11 a second, which allow 21 in any second. */
const BOUNDS = { coldOvershoot: 1.5, coldSlack: 5 };
const COLD_PER_SECOND = 11;
const ALLOWED = 21;

function createEntry(id: string): UpstreamEntry {
  return {
    id: toId<UpstreamId>(id),
    poolId: POOL_ID,
    address: '127.0.0.1:1',
    failureDomain: 'a',
    isDraining: false,
    slots: 1,
    softwareVersion: 'v1',
    coldRemainingMs: 0,
    startedAtMs: 1,
  };
}

function createDirectory(hostCount: number, coldRequestsPerSecond = COLD_PER_SECOND): Directory {
  const directory = new Directory(new ManualClock());
  for (let index = 0; index < hostCount; index += 1) {
    directory.apply(createHostChange(`h${index}`, { registeredRevision: index + 1 }));
  }
  directory.apply({
    kind: 'configuration',
    configuration: {
      version: 1,
      routes: [],
      pools: new Map([[POOL_ID, {
        id: POOL_ID,
        healthPath: '/health',
        maxConnections: 10,
        coldRequestsPerSecond,
        batch: null,
        engine: null,
      }]]),
      accountsByKey: null,
      callerLimits: {
        maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
      },
    },
  });
  return directory;
}

function getSum(directory: Directory, entry: UpstreamEntry): number {
  const quotas = new SendQuotas(directory, BOUNDS);
  return [...directory.hosts.keys()].reduce((sum, hostId) => {
    const { ownCount, leasedCount } = quotas.get(entry, hostId);
    return sum + ownCount + leasedCount;
  }, 0);
}

describe('SendQuotas', () => {
  it('keeps the cold start limit when there are more hosts than allowed requests', () => {
    [1, 2, 8, 21, 22, 30, 62, 331].forEach((hostCount) => {
      const sum = getSum(createDirectory(hostCount), createEntry('u'));
      ok(sum <= ALLOWED, `${sum} requests a second from ${hostCount} hosts`);
      ok(sum >= ALLOWED - 1, `${sum} requests a second from ${hostCount} hosts are too few`);
    });
  });

  it('allows no more once hosts are gone, since they may be cut off and go on', () => {
    const directory = createDirectory(62);
    [...directory.hosts.keys()].slice(10)
      .forEach((hostId) => directory.apply({ kind: 'hostGone', hostId }));
    ok(getSum(directory, createEntry('u')) <= ALLOWED);
  });

  it('gives the quotas of different upstreams to different hosts', () => {
    const directory = createDirectory(62);
    const quotas = new SendQuotas(directory, BOUNDS);
    const [hostId] = [...directory.hosts.keys()];
    ok(hostId);
    const shares = Array.from({ length: 62 }, (_, index) => (
      quotas.get(createEntry(`u${index}`), hostId).leasedCount));
    const count = shares.reduce((sum, share) => sum + share, 0);
    ok(count > 5 && count < 30, `${count} of 62 upstreams`);
  });

  it('knows no bound of a pool without a cold start limit', () => {
    equal(new SendQuotas(createDirectory(2, 0), BOUNDS).isBounded(POOL_ID), false);
  });
});
