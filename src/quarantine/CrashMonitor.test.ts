import { deepEqual } from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { pino } from 'pino';
import { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import { toId, type PoolId, type UpstreamId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { CrashMonitor } from './CrashMonitor.ts';
import type { Liveness } from './UpstreamCheck.ts';

const ENTRY: UpstreamEntry = {
  id: toId<UpstreamId>('u'),
  startedAtMs: 7,
  poolId: toId<PoolId>('pool'),
  address: '127.0.0.1:1',
  failureDomain: 'a',
  isDraining: false,
  slots: 4,
  coldRemainingMs: 0,
};

describe('CrashWatch', () => {
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
      onCrash: ({ crashId, requests }) => (
        reports.push([crashId, ...requests.map(({ fingerprint }) => fingerprint)])),
      schedule: (delayMs, action) => scheduled.push({ delayMs, action }),
    });
  });

  function recordBroken(fingerprint: string, sentAtMs = clock.getMonotonicMs()): void {
    monitor.recordBrokenExchange({
      entry: ENTRY, fingerprint, sentAtMs, onDecided: (hasEnded) => decisions.push(hasEnded),
    });
  }

  /** Runs what is due soon; the end of a case comes much later. */
  async function settle(): Promise<void> {
    scheduled.splice(0).filter(({ delayMs }) => delayMs < 1_000).forEach(({ action }) => action());
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }

  it('names all requests that were with an upstream that has ended', async () => {
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

  it('does not take a broken connection for the end of an upstream that lives', async () => {
    liveness = 'alive';
    recordBroken('x');
    await settle();
    deepEqual(reports, []);
    liveness = 'ended';
    recordBroken('y');
    await settle();
    deepEqual(reports, [['u@7', 'y']]);
  });

  it('leaves it to the directory where an upstream gives no sign', async () => {
    liveness = 'unknown';
    recordBroken('x');
    await settle();
    deepEqual(reports, []);
    directory.apply({ kind: 'upstreamGone', upstreamId: ENTRY.id });
    deepEqual(reports, [['u@7', 'x']]);
  });

  it('passes over a request that was sent to an upstream which had ended before', async () => {
    recordBroken('x');
    clock.advance(10);
    recordBroken('late');
    recordBroken('slow', clock.getMonotonicMs() - 50);
    await settle();
    deepEqual(reports, [['u@7', 'x', 'slow']]);
    deepEqual(decisions, [false, true, true]);
  });

  it('passes over upstreams that end as planned', async () => {
    directory.apply({ kind: 'upstream', entry: { ...ENTRY, isDraining: true } });
    recordBroken('x');
    directory.apply({ kind: 'upstreamGone', upstreamId: ENTRY.id });
    recordBroken('y');
    await settle();
    deepEqual(reports, []);
  });
});
