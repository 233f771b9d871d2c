import { deepEqual, equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { MemoryDirectoryStore } from '../../test/support/MemoryDirectoryStore.ts';
import { createHostChange } from '../../test/support/createHostChange.ts';
import { SeededRandomSource } from '../lib/SeededRandomSource.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { Directory } from './Directory.ts';
import type { DirectoryChange } from './DirectoryChange.ts';
import { DEFAULT_DIRECTORY_FOLLOWER_TIMINGS, DirectoryFollower } from './DirectoryFollower.ts';
import type { FollowResult } from './DirectoryStore.ts';

const {
  waitMs, settlePerHostMs, minPauseMs, maxPauseMs,
} = DEFAULT_DIRECTORY_FOLLOWER_TIMINGS;

const CONFIGURATION: DirectoryChange = {
  kind: 'configuration',
  configuration: {
    version: 1,
    routes: [],
    pools: new Map(),
    accountsByKey: null,
    callerLimits: {
      maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
    },
  },
};
const DRAINED: DirectoryChange = { kind: 'domainDrained', failureDomain: 'a' };

/** A store whose waits end as a test says. */
class ScriptedStore extends MemoryDirectoryStore {
  readonly script: (FollowResult | Error)[] = [];

  readCount = 0;

  onEmpty: (() => void) | null = null;

  override async readAll(): ReturnType<MemoryDirectoryStore['readAll']> {
    this.readCount += 1;
    return super.readAll();
  }

  override async follow(): Promise<FollowResult> {
    const next = this.script.shift();
    if (this.script.length === 0) {
      this.onEmpty?.();
    }
    if (next === undefined || next instanceof Error) {
      throw next ?? new Error('the script is at its end');
    }
    return next;
  }
}

async function follow(
  known: readonly DirectoryChange[],
  script: readonly (FollowResult | Error)[],
): Promise<{ pausesMs: number[]; directory: Directory; readCount: number }> {
  const store = new ScriptedStore();
  store.changes.push(...known);
  store.script.push(...script);
  const clock = new ManualClock();
  const directory = new Directory(clock);
  const pausesMs: number[] = [];
  const follower = new DirectoryFollower({
    clock,
    store,
    directory,
    logger: pino({ level: 'silent' }),
    random: new SeededRandomSource(1),
    pause: async (durationMs) => {
      pausesMs.push(durationMs);
    },
  });
  store.onEmpty = () => follower.stop();
  await follower.run();
  return { pausesMs, directory, readCount: store.readCount };
}

function createChanges(...changes: DirectoryChange[]): FollowResult {
  return {
    kind: 'changes', changes, revision: 9, payload: JSON.stringify(changes),
  };
}

describe('DirectoryFollower', () => {
  it('lets changes settle, longer with more hosts, and asks on at once after none', async () => {
    const hosts = [createHostChange('one'), createHostChange('two')];
    const { pausesMs } = await follow(hosts, [
      createChanges(DRAINED), createChanges(), createChanges(CONFIGURATION), createChanges(),
    ]);
    deepEqual(pausesMs, [2 * settlePerHostMs, 2 * settlePerHostMs]);
  });

  it('reads everything again when the store has dropped the history', async () => {
    const { readCount, directory } = await follow([CONFIGURATION], [
      { kind: 'historyLost' }, createChanges(),
    ]);
    equal(readCount, 2);
    equal(directory.configuration?.version, 1);
  });

  it('asks again at once after a call that was silent for long', async () => {
    const clock = new ManualClock();
    const store = new ScriptedStore();
    const pausesMs: number[] = [];
    const follower = new DirectoryFollower({
      clock,
      store,
      directory: new Directory(clock),
      logger: pino({ level: 'silent' }),
      random: new SeededRandomSource(1),
      pause: async (durationMs) => {
        pausesMs.push(durationMs);
      },
    });
    const waitsMs: number[] = [];
    store.follow = async (...[, askedMs = 0]: readonly number[]) => {
      waitsMs.push(askedMs);
      if (waitsMs.length === 4) {
        follower.stop();
      }
      clock.advance(5_000);
      throw new Error('silent');
    };
    await follower.run();
    deepEqual(pausesMs, Array.from({ length: 4 }, () => minPauseMs));
    deepEqual(waitsMs, [waitMs, 0, waitMs, 0]);
  });

  it('keeps what it knows and waits longer and longer while the store is away', async () => {
    const failures = Array.from({ length: 5 }, () => new Error('away'));
    const { pausesMs, directory, readCount } = await follow([CONFIGURATION, DRAINED], failures);
    equal(pausesMs.length, failures.length);
    pausesMs.forEach((pauseMs, index) => {
      const meanMs = Math.min(maxPauseMs, minPauseMs * 2 ** index);
      equal(pauseMs >= Math.max(minPauseMs, meanMs / 2) && pauseMs <= meanMs * 1.5, true);
    });
    equal(directory.configuration?.version, 1);
    equal(readCount, 1);
  });
});
