import { deepEqual } from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { pino } from 'pino';
import { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import { toId, type PoolId, type UpstreamId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { CrashMonitor } from './CrashMonitor.ts';
import type { SuspectId } from './SuspectId.ts';
import type { Liveness } from './UpstreamCheck.ts';

const ENTRY: UpstreamEntry = {
  id: toId<UpstreamId>('u'),
  startedAtMs: 7,
  poolId: toId<PoolId>('pool'),
  address: '127.0.0.1:1',
  failureDomain: 'a',
  isDraining: false,
  slots: 4,
  softwareVersion: 'v1',
  coldRemainingMs: 0,
};

describe('CrashMonitor', () => {
  let clock: ManualClock;
  let directory: Directory;
  let decisions: boolean[];
  let liveness: Liveness;
  let monitor: CrashMonitor;
  let reports: (readonly string[])[];
  let scheduled: { readonly delayMs: number; readonly action: () => void }[];
  let checkCount: number;

  beforeEach(() => {
    clock = new ManualClock();
    decisions = [];
    directory = new Directory(clock);
    directory.apply({ kind: 'upstream', entry: ENTRY });
    liveness = 'ended';
    reports = [];
    scheduled = [];
    checkCount = 0;
    monitor = new CrashMonitor({
      clock,
      directory,
      logger: pino({ level: 'silent' }),
      check: {
        check: async () => {
          checkCount += 1;
          return liveness;
        },
      },
      onCrash: ({ crashId, suspects }) => (
        reports.push([crashId, ...suspects.map(({ suspectId }) => suspectId)])),
      schedule: (delayMs, action) => scheduled.push({ delayMs, action }),
    });
  });

  function recordBroken(name: string, sentAtMs = clock.getMonotonicMs()): void {
    monitor.recordBrokenExchange({
      entry: ENTRY,
      suspectIds: [toId<SuspectId>(name)],
      sentAtMs,
      onDecided: (hasEnded) => decisions.push(hasEnded),
    });
  }

  /** Runs the actions due within a second, which excludes the expiry of a suspected crash. */
  async function settle(): Promise<void> {
    scheduled.splice(0).filter(({ delayMs }) => delayMs < 1_000).forEach(({ action }) => action());
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }

  it('reports all requests that were running at an upstream that crashed', async () => {
    recordBroken('x');
    recordBroken('y');
    deepEqual(reports, []);
    await settle();
    deepEqual(reports, [['u@7', 'x', 'y']]);
    recordBroken('z');
    await settle();
    deepEqual(reports.at(-1), ['u@7', 'x', 'y', 'z']);
    deepEqual(checkCount, 1);
  });

  it('does not report a crash when the upstream of a broken exchange is alive', async () => {
    liveness = 'alive';
    recordBroken('x');
    await settle();
    deepEqual(reports, []);
    liveness = 'ended';
    recordBroken('y');
    await settle();
    deepEqual(reports, [['u@7', 'y']]);
  });

  it('relies on the directory when the liveness of an upstream is unknown', async () => {
    liveness = 'unknown';
    recordBroken('x');
    await settle();
    deepEqual(reports, []);
    directory.apply({ kind: 'upstreamGone', upstreamId: ENTRY.id });
    deepEqual(reports, [['u@7', 'x']]);
  });

  it('does not report a request sent after the upstream had crashed', async () => {
    recordBroken('x');
    clock.advance(10);
    recordBroken('late');
    recordBroken('slow', clock.getMonotonicMs() - 50);
    await settle();
    deepEqual(reports, [['u@7', 'x', 'slow']]);
    deepEqual(decisions, [false, true, true]);
  });

  it('does not report upstreams that stop as planned', async () => {
    directory.apply({ kind: 'upstream', entry: { ...ENTRY, isDraining: true } });
    recordBroken('x');
    directory.apply({ kind: 'upstreamGone', upstreamId: ENTRY.id });
    recordBroken('y');
    await settle();
    deepEqual(reports, []);
  });
});
