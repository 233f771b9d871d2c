import { deepEqual, equal } from 'node:assert/strict';
import {
  afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import { pino } from 'pino';
import { MemoryDirectoryStore } from '../../test/support/MemoryDirectoryStore.ts';
import { createHostChange } from '../../test/support/createHostChange.ts';
import { Directory } from '../directory/Directory.ts';
import { EXECUTION_SEMANTICS } from '../directory/ServingConfiguration.ts';
import {
  toId, type HostId, type PoolId, type UpstreamId,
} from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { PoolVersionRecorder } from './PoolVersionRecorder.ts';
import { STREAM_TTL_MS, StreamVersionTable } from './StreamVersionTable.ts';

const POOL_ID = toId<PoolId>('pool');
const SETTLE_MS = STREAM_TTL_MS * 2;

describe('PoolVersionRecorder', () => {
  let clock: ManualClock;
  let directory: Directory;
  let store: MemoryDirectoryStore;
  let recorder: PoolVersionRecorder;

  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout', 'setInterval'] });
    clock = new ManualClock();
    directory = new Directory(clock);
    store = new MemoryDirectoryStore();
    recorder = new PoolVersionRecorder({
      clock,
      hostId: toId<HostId>('h1'),
      directory,
      store,
      table: new StreamVersionTable(clock, directory),
      logger: pino({ level: 'silent' }),
    });
    recorder.start();
    directory.apply({
      kind: 'configuration',
      configuration: {
        version: 1,
        routes: [{
          name: 'stream',
          host: 'a.example',
          pathPrefix: '/',
          executionSemantics: EXECUTION_SEMANTICS.repeatable,
          isStream: true,
          isResumable: true,
          timeoutMs: 1_000,
          targetLatencyMs: 500,
          gapTargetMs: 100,
          callerPatienceMs: 2_000,
          priority: 0,
          maxAttempts: 2,
          targets: [{ poolId: POOL_ID, weight: 1 }],
          stages: [],
          isPublic: true,
        }],
        pools: new Map(),
        accountsByKey: null,
        callerLimits: {
          maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
        },
      },
    });
    directory.apply(createHostChange('h1', { registeredRevision: 1 }));
  });

  afterEach(() => {
    recorder.close();
    mock.timers.reset();
  });

  function list(id: string, softwareVersion: string): void {
    directory.apply({
      kind: 'upstream',
      entry: {
        id: toId<UpstreamId>(id),
        poolId: POOL_ID,
        softwareVersion,
        address: '127.0.0.1:1',
        failureDomain: 'a',
        isDraining: false,
        slots: 1,
        coldRemainingMs: 0,
        startedAtMs: null,
      },
    });
  }

  function applyWritten(): void {
    store.changes.splice(0).forEach((change) => directory.apply(change));
  }

  /** Passes time in steps in which the store confirms the directory. */
  async function pass(durationMs: number, isFollowing = true): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 1_000) {
      clock.advance(1_000);
      if (isFollowing) {
        directory.recordConfirmation();
      }
      mock.timers.tick(1_000);
      // eslint-disable-next-line no-await-in-loop -- lets the write of this step end
      await new Promise(setImmediate);
      applyWritten();
    }
  }

  async function getSoleVersion(): Promise<string | null | undefined> {
    return (await store.readPoolVersion(POOL_ID))?.soleVersion;
  }

  it('records one version, then several, and one when no other was listed for long', async () => {
    list('u1', 'v1');
    await pass(1_000);
    equal(await getSoleVersion(), 'v1');
    list('u2', 'v2');
    await pass(1_000);
    equal(await getSoleVersion(), null);
    directory.apply({ kind: 'upstreamGone', upstreamId: toId<UpstreamId>('u1') });
    await pass(SETTLE_MS - 2_000);
    equal(await getSoleVersion(), null);
    await pass(4_000);
    equal(await getSoleVersion(), 'v2');
  });

  it('records several versions once an engine serves at one that is not known', async () => {
    list('u1', 'v1');
    await pass(1_000);
    recorder.recordUnlisted(POOL_ID);
    await new Promise(setImmediate);
    equal(await getSoleVersion(), null);
    await pass(STREAM_TTL_MS + SETTLE_MS - 2_000);
    equal(await getSoleVersion(), null);
    await pass(4_000);
    equal(await getSoleVersion(), 'v1');
  });

  it('does not trust a time in which it did not follow the store', async () => {
    list('u1', 'v1');
    list('u2', 'v2');
    await pass(1_000);
    directory.apply({ kind: 'upstreamGone', upstreamId: toId<UpstreamId>('u1') });
    await pass(SETTLE_MS / 2);
    await pass(30_000, false);
    await pass(SETTLE_MS / 2);
    equal(await getSoleVersion(), null);
  });

  it('leaves the write to the host that registered first, unless that does not write', async () => {
    directory.apply(createHostChange('h0', { registeredRevision: 0 }));
    list('u1', 'v1');
    mock.timers.tick(299);
    await new Promise(setImmediate);
    deepEqual(store.changes, []);
    mock.timers.tick(1);
    await new Promise(setImmediate);
    equal(await getSoleVersion(), 'v1');
  });
});
