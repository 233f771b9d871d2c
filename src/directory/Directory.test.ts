import { deepEqual, equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { toId, type PoolId, type UpstreamId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { Directory } from './Directory.ts';
import type { DirectoryChange } from './DirectoryChange.ts';

const POOL_ID = toId<PoolId>('pool');

function createConfigurationChange(version: number): DirectoryChange {
  return {
    kind: 'configuration',
    configuration: {
      version,
      routes: [],
      pools: new Map(),
      accountsByKey: null,
      callerLimits: {
        maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
      },
    },
  };
}

function createUpstreamChange(
  id: string,
  failureDomain = 'a',
  isDraining = false,
  startedAtMs: number | null = null,
): DirectoryChange {
  return {
    kind: 'upstream',
    entry: {
      id: toId<UpstreamId>(id),
      poolId: POOL_ID,
      address: '10.0.0.1:1',
      failureDomain,
      isDraining,
      slots: 1,
      coldRemainingMs: 0,
      startedAtMs,
    },
  };
}

function getUsableIds(directory: Directory): string[] {
  return directory.getUsable(POOL_ID).map(({ entry }) => entry.id);
}

describe('Directory', () => {
  it('never returns to an older configuration, not even by a snapshot', () => {
    const directory = new Directory(new ManualClock());
    directory.apply(createConfigurationChange(7));
    directory.apply(createConfigurationChange(5));
    directory.applySnapshot({ changes: [createConfigurationChange(6)], revision: 1 });
    equal(directory.configuration?.version, 7);
    directory.apply(createConfigurationChange(9));
    equal(directory.configuration?.version, 9);
  });

  it('treats an upstream that restarted under its id as a new one', () => {
    const directory = new Directory(new ManualClock());
    const kinds: string[] = [];
    directory.onChange((change) => kinds.push(change.kind));
    directory.apply(createUpstreamChange('one', 'a', false, 1_000));
    directory.apply(createUpstreamChange('one', 'a', true, 1_000));
    directory.apply(createUpstreamChange('one', 'a', false, 2_000));
    directory.apply(createUpstreamChange('one', 'a', false, null));
    deepEqual(kinds, ['upstream', 'upstream', 'upstreamGone', 'upstream', 'upstream']);
  });

  it('excludes draining upstreams and those in a drained failure domain from usable ones', () => {
    const directory = new Directory(new ManualClock());
    directory.apply(createUpstreamChange('u1', 'a'));
    directory.apply(createUpstreamChange('u2', 'b'));
    directory.apply(createUpstreamChange('u3', 'b', true));
    deepEqual(getUsableIds(directory), ['u1', 'u2']);
    directory.apply({ kind: 'domainDrained', failureDomain: 'b' });
    deepEqual(getUsableIds(directory), ['u1']);
    directory.apply({ kind: 'domainRestored', failureDomain: 'b' });
    deepEqual(getUsableIds(directory), ['u1', 'u2']);
  });

  it('removes entries that a snapshot lacks', () => {
    const directory = new Directory(new ManualClock());
    const applied: DirectoryChange[] = [];
    directory.apply(createUpstreamChange('u1'));
    directory.apply(createUpstreamChange('u2'));
    directory.apply({ kind: 'domainDrained', failureDomain: 'a' });
    directory.onChange((change) => applied.push(change));
    directory.applySnapshot({ changes: [createUpstreamChange('u2')], revision: 1 });
    deepEqual(getUsableIds(directory), ['u2']);
    deepEqual(applied.map((change) => change.kind), ['upstream', 'upstreamGone', 'domainRestored']);
  });
});
