import { deepEqual, equal } from 'node:assert/strict';
import {
  afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import { pino } from 'pino';
import { MemoryDirectoryStore } from '../../test/support/MemoryDirectoryStore.ts';
import { toId, type HostId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { Directory } from './Directory.ts';
import type { DirectoryChange } from './DirectoryChange.ts';
import { HostCountRecorder } from './HostCountRecorder.ts';

const LONG_MS = 5_000;

function createHost(name: string, registeredRevision: number): DirectoryChange {
  return {
    kind: 'host',
    entry: {
      id: toId<HostId>(name),
      failureDomain: 'a',
      peerAddress: name,
      processorCores: 1,
      linkMbps: 1,
      registeredRevision,
    },
  };
}

describe('HostCountKeeper', () => {
  let directory: Directory;
  let store: MemoryDirectoryStore;
  let keeper: HostCountRecorder;

  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
    directory = new Directory(new ManualClock());
    store = new MemoryDirectoryStore();
    keeper = new HostCountRecorder({
      hostId: toId<HostId>('own'), directory, store, logger: pino({ level: 'silent' }),
    });
  });

  afterEach(() => {
    keeper.close();
    mock.timers.reset();
  });

  it('records hosts that start together with one write, and not again', async () => {
    directory.apply(createHost('own', 1));
    directory.apply(createHost('other', 2));
    mock.timers.tick(LONG_MS);
    deepEqual(store.changes, [{ kind: 'hostCount', count: 2, revision: 0 }]);
    store.changes.forEach((change) => directory.apply(change));
    await Promise.resolve();
    mock.timers.tick(LONG_MS);
    equal(store.changes.length, 1);
  });

  it('leaves the record to the host that is registered for longest', () => {
    directory.apply(createHost('oldest', 1));
    directory.apply(createHost('own', 2));
    mock.timers.tick(LONG_MS);
    deepEqual(store.changes, []);
    directory.apply({ kind: 'hostGone', hostId: toId<HostId>('oldest') });
    mock.timers.tick(LONG_MS);
    deepEqual(store.changes, [{ kind: 'hostCount', count: 2, revision: 0 }]);
  });

  it('does not lower the record when hosts are gone', () => {
    directory.apply({ kind: 'hostCount', count: 8, revision: 1 });
    directory.apply(createHost('own', 2));
    mock.timers.tick(LONG_MS);
    deepEqual(store.changes, []);
    equal(directory.largestHostCount, 8);
  });
});
