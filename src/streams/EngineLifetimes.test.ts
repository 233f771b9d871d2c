import { deepEqual, equal } from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { pino } from 'pino';
import { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import { toId, type PoolId, type UpstreamId } from '../lib/ids.ts';
import type { ProbeResult } from '../relay/EngineProbe.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { EngineLifetimes } from './EngineLifetimes.ts';

const ENTRY: UpstreamEntry = {
  id: toId<UpstreamId>('i-1'),
  poolId: toId<PoolId>('pool'),
  address: '127.0.0.1:1',
  failureDomain: 'a',
  isDraining: false,
  slots: 1,
  softwareVersion: 'v1',
  coldRemainingMs: 0,
  startedAtMs: 1,
};
const RESTARTED: UpstreamEntry = { ...ENTRY, softwareVersion: 'v2', startedAtMs: 2 };
const UNTOLD: UpstreamEntry = { ...ENTRY, startedAtMs: null };

describe('EngineLifetimes', () => {
  let clock: ManualClock;
  let directory: Directory;
  let result: ProbeResult;
  let probeCount: number;
  let connectCount: number;
  let mayAsk: boolean;
  let stored: UpstreamEntry | null | Error;
  let unlisted: PoolId[];
  let scheduled: (() => void)[];
  let lifetimes: EngineLifetimes;

  async function findVersions(count = 1): Promise<(string | null)[]> {
    const versions: (string | null)[] = [];
    await Promise.all(Array.from({ length: count }, () => (
      lifetimes.findVersion(ENTRY, (version) => versions.push(version)))));
    return versions;
  }

  beforeEach(() => {
    clock = new ManualClock();
    directory = new Directory(clock);
    directory.apply({ kind: 'upstream', entry: ENTRY });
    result = { kind: 'answered', startedAtMs: 1 };
    probeCount = 0;
    connectCount = 1;
    mayAsk = true;
    stored = UNTOLD;
    unlisted = [];
    scheduled = [];
    lifetimes = new EngineLifetimes({
      clock,
      directory,
      probe: {
        probeKept: async () => {
          probeCount += 1;
          return result;
        },
      },
      getConnectCount: () => connectCount,
      mayAsk: () => mayAsk,
      onUnlisted: (poolId) => unlisted.push(poolId),
      store: {
        readUpstream: async () => {
          if (stored instanceof Error) {
            throw stored;
          }
          return stored;
        },
      },
      logger: pino({ level: 'silent' }),
      schedule: (_delayMs, action) => scheduled.push(action),
    });
  });

  it('asks an engine once for the streams on the same connections', async () => {
    deepEqual(await findVersions(3), ['v1', 'v1', 'v1']);
    deepEqual(await findVersions(), ['v1']);
    equal(probeCount, 1);
  });

  it('asks again after a connection was opened, since it may lead to another process', async () => {
    await findVersions();
    connectCount += 1;
    result = { kind: 'answered', startedAtMs: 2 };
    deepEqual(await findVersions(), []);
    equal(probeCount, 2);
  });

  it('tells the version of a restarted engine once its entry arrives', async () => {
    result = { kind: 'answered', startedAtMs: 2 };
    const versions = await findVersions(2);
    deepEqual(versions, []);
    directory.apply({ kind: 'upstream', entry: RESTARTED });
    deepEqual(versions, ['v2', 'v2']);
  });

  it('tells the version of no other process than the one that was asked', async () => {
    result = { kind: 'answered', startedAtMs: 2 };
    const versions = await findVersions();
    directory.apply({ kind: 'upstream', entry: { ...RESTARTED, startedAtMs: 3 } });
    deepEqual(versions, []);
  });

  it('reports a process whose entry has not arrived after a while', async () => {
    result = { kind: 'answered', startedAtMs: 2 };
    await findVersions();
    scheduled.forEach((act) => act());
    deepEqual(unlisted, [ENTRY.poolId]);
  });

  it('reports no process whose entry has arrived meanwhile', async () => {
    result = { kind: 'answered', startedAtMs: 2 };
    await findVersions();
    directory.apply({ kind: 'upstream', entry: RESTARTED });
    scheduled.forEach((act) => act());
    deepEqual(unlisted, []);
  });

  it('knows no version of an engine that gives no answer, and asks it again later', async () => {
    result = { kind: 'silent' };
    deepEqual(await findVersions(), [null]);
    deepEqual(await findVersions(), [null]);
    equal(probeCount, 1);
    clock.advance(1_000);
    result = { kind: 'answered', startedAtMs: 1 };
    deepEqual(await findVersions(), ['v1']);
  });

  it('does not ask an engine that wants no calls', async () => {
    mayAsk = false;
    deepEqual(await findVersions(), [null]);
    equal(await lifetimes.prove(ENTRY), 'unreachable');
    equal(probeCount, 0);
  });

  it('proves by the report of the engine that it has not started again', async () => {
    equal(await lifetimes.prove(ENTRY), 'report');
    // A restart closes all connections, and the host need not have opened one since.
    result = { kind: 'answered', startedAtMs: 2 };
    equal(await lifetimes.prove(ENTRY), 'changed');
    result = { kind: 'unreachable' };
    equal(await lifetimes.prove(ENTRY), 'unreachable');
  });

  it('asks the store about an engine whose entry does not tell its start', async () => {
    equal(await lifetimes.prove(UNTOLD), 'store');
    stored = { ...UNTOLD, softwareVersion: 'v2' };
    equal(await lifetimes.prove(UNTOLD), 'changed');
    stored = null;
    equal(await lifetimes.prove(UNTOLD), 'changed');
    equal(probeCount, 0);
  });

  it('asks a store that gave no answer again only after a while', async () => {
    stored = new Error('away');
    equal(await lifetimes.prove(UNTOLD), 'storeUnavailable');
    stored = UNTOLD;
    equal(await lifetimes.prove(UNTOLD), 'storeUnavailable');
    clock.advance(1_000);
    equal(await lifetimes.prove(UNTOLD), 'store');
  });
});
