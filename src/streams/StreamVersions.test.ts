import { deepEqual, equal } from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { pino } from 'pino';
import { MemoryDirectoryStore } from '../../test/support/MemoryDirectoryStore.ts';
import { Directory } from '../directory/Directory.ts';
import { bindToEra } from '../directory/EraBound.ts';
import { toId, type HostId, type PoolId } from '../lib/ids.ts';
import { SystemRandomSource } from '../lib/SystemRandomSource.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { getStreamDigest } from './StreamDigest.ts';
import { StreamVersions } from './StreamVersions.ts';
import { STREAM_TTL_MS } from './StreamVersionTable.ts';

const POOL_ID = toId<PoolId>('pool');
const ERA = 4;

describe('StreamVersions', () => {
  let clock: ManualClock;
  let directory: Directory;
  let store: MemoryDirectoryStore;
  let versions: StreamVersions;
  let scheduled: (() => void)[];

  beforeEach(() => {
    clock = new ManualClock();
    directory = new Directory(clock);
    store = new MemoryDirectoryStore();
    scheduled = [];
    versions = new StreamVersions({
      clock,
      hostId: toId<HostId>('host'),
      processId: 'process',
      directory,
      store,
      random: new SystemRandomSource(),
      logger: pino({ level: 'silent' }),
      schedule: (_delayMs, action) => scheduled.push(action),
    });
  });

  function runScheduled(): void {
    scheduled.splice(0).forEach((action) => action());
  }

  /** Lets the directory bring a record of the pool. */
  function applyRecord(soleVersion: string | null, writtenInEra = ERA, era = ERA): void {
    directory.apply({
      kind: 'poolVersionRecorded',
      record: {
        poolId: POOL_ID, soleVersion, writtenInEra, revision: bindToEra(era, 1),
      },
    });
  }

  async function find(requestId: string | null): Promise<string | null> {
    const answer = versions.find(POOL_ID, requestId);
    // Passes the read of the store, then the wait for records of other hosts.
    await new Promise(setImmediate);
    runScheduled();
    const found = await answer;
    return found.kind === 'known' ? found.softwareVersion : null;
  }

  it('begins streams only at recorded versions', () => {
    equal(versions.mayBegin(POOL_ID, 'v1'), false);
    applyRecord('v1');
    deepEqual(['v1', 'v2'].map((version) => versions.mayBegin(POOL_ID, version)), [true, false]);
    applyRecord(null);
    deepEqual(['v1', 'v2'].map((version) => versions.mayBegin(POOL_ID, version)), [true, true]);
  });

  it('takes the only version for a stream begun elsewhere if the store confirms it', async () => {
    applyRecord('v1');
    await store.writePoolVersion(POOL_ID, 'v1', 0);
    equal(await find('elsewhere'), 'v1');
    await store.writePoolVersion(POOL_ID, null, 1);
    equal(await find('elsewhere'), null, 'this host is behind the store');
  });

  it('knows streams of its own, and those that other hosts have written', async () => {
    applyRecord(null);
    versions.recordBegun(POOL_ID, 'own', 'v1');
    const batch = [{ softwareVersion: 'v2', digests: [getStreamDigest(POOL_ID, 'other')] }];
    directory.apply({ kind: 'streamsBegun', batchId: 'b', batch });
    equal(await find('own'), 'v1');
    equal(await find('other'), 'v2');
    equal(await find('unwritten'), null);
    equal(await find(null), null);
  });

  it('does not believe a record that an older copy brought into a new era', async () => {
    applyRecord('v1');
    equal(versions.mayBegin(POOL_ID, 'v2'), false);
    directory.apply({ kind: 'storeEraChanged', era: ERA + 1, before: ERA });
    applyRecord('v1', ERA, ERA + 1);
    equal(await find('elsewhere'), null);
    equal(versions.mayBegin(POOL_ID, 'v2'), true);
  });

  it('writes the streams of this host when its pool gets a second version', async () => {
    applyRecord('v1');
    versions.recordBegun(POOL_ID, 'own', 'v1');
    await new Promise(setImmediate);
    equal(store.changes.length, 0);
    applyRecord(null);
    await new Promise(setImmediate);
    deepEqual(store.changes, [{
      kind: 'streamsBegun',
      batchId: 'host/process/1',
      batch: [{ softwareVersion: 'v1', digests: [getStreamDigest(POOL_ID, 'own')] }],
    }]);
  });

  it('forgets a stream that no caller can resume any more', async () => {
    applyRecord(null);
    versions.recordBegun(POOL_ID, 'own', 'v1');
    clock.advance(STREAM_TTL_MS + 1);
    equal(await find('own'), null);
  });
});
