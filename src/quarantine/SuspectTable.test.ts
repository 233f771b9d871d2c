import { deepEqual, equal, ok } from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ManualClock } from '../time/ManualClock.ts';
import type { CrashReport } from './QuarantineStore.ts';
import { CRASH_TTL_MS, SuspectTable, TRIAL_DELAYS_MS } from './SuspectTable.ts';

const HARMFUL = 'bad';
const OTHER = 'other';

describe('SuspectTable', () => {
  let clock: ManualClock;
  let table: SuspectTable;

  beforeEach(() => {
    clock = new ManualClock();
    clock.advance(1_000);
    table = new SuspectTable(clock);
  });

  /** The upstream ends 20 ms after it got the requests, a second after the one before. */
  function createReport(crashId: string, fingerprints: readonly string[], index = 0): CrashReport {
    const sentAtMs = index * 1_000;
    return {
      crashId,
      endedAtMs: sentAtMs + 20,
      requests: fingerprints.map((fingerprint) => ({ fingerprint, sentAtMs })),
    };
  }

  function crash(count: number, fingerprints: readonly string[] = [HARMFUL]): void {
    Array.from({ length: count }, (_, index) => (
      table.addCrash(createReport(`u${index}@1`, fingerprints, index), 100 + index)));
  }

  it('holds a request at the third upstream that ends under it, however often that is told', () => {
    crash(2);
    crash(2);
    equal(table.getDecision(HARMFUL).kind, 'free');
    crash(3);
    deepEqual(table.getDecision(HARMFUL), { kind: 'trialDue', trialCount: 0, revision: 0 });
    equal(table.getDecision(OTHER).kind, 'free');
  });

  it('lets a request go that is answered, and counts from there', () => {
    crash(3);
    table.clear(HARMFUL, 200);
    equal(table.getDecision(HARMFUL).kind, 'free');
    // Records of before may be read again, after a gap in the history of the store.
    crash(3);
    equal(table.getDecision(HARMFUL).kind, 'free');
    Array.from({ length: 3 }, (_, index) => (
      table.addCrash(createReport(`v${index}@1`, [HARMFUL], index + 5), 300 + index)));
    equal(table.getDecision(HARMFUL).kind, 'trialDue');
  });

  it('lets a request be tried a few times, with growing pauses, and then no more', () => {
    crash(3);
    const dueCounts: number[] = [];
    TRIAL_DELAYS_MS.forEach((delayMs, index) => {
      clock.advance(delayMs);
      const decision = table.getDecision(HARMFUL);
      dueCounts.push(decision.kind === 'trialDue' ? decision.trialCount : NaN);
      table.setTrialCount(HARMFUL, index + 1, 200 + index);
      table.addCrash(createReport(`t${index}@1`, [HARMFUL], index + 5), 300 + index);
      equal(table.getDecision(HARMFUL).kind, 'held');
    });
    deepEqual(dueCounts, [0, 1, 2]);
    clock.advance(10 * 3_600_000);
    equal(table.getDecision(HARMFUL).kind, 'held');
  });

  it('waits for a trial until it ends, and no longer than a trial may take', () => {
    crash(3);
    table.setTrialCount(HARMFUL, 1, 200);
    const verdict = table.getDecision(HARMFUL);
    ok(verdict.kind === 'held' && verdict.isOnTrial);
    clock.advance(verdict.retryAfterMs);
    equal(table.getDecision(HARMFUL).kind, 'trialDue');
  });

  it('holds a request that failed a trial though its crashes are long forgotten', () => {
    crash(3);
    table.setTrialCount(HARMFUL, 3, 200);
    clock.advance(CRASH_TTL_MS + 1);
    equal(table.getCrashCount(HARMFUL), 0);
    equal(table.getDecision(HARMFUL).kind, 'held');
    table.releaseTrials(HARMFUL);
    equal(table.getDecision(HARMFUL).kind, 'free');
  });

  it('forgets crashes after a while', () => {
    crash(2);
    clock.advance(CRASH_TTL_MS + 1);
    table.addCrash(createReport('late@1', [HARMFUL], 5), 500);
    equal(table.getDecision(HARMFUL).kind, 'free');
  });

  it('keeps held requests when very many others are suspected', () => {
    crash(3);
    Array.from({ length: 11_000 }, (_, index) => (
      table.addCrash(createReport('rack@1', [`x${index}`]), 400)));
    equal(table.getDecision(HARMFUL).kind, 'trialDue');
  });
});
