import { deepEqual, equal, ok } from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { ManualClock } from '../time/ManualClock.ts';
import { bindToEra } from '../directory/EraBound.ts';
import { toId } from '../lib/ids.ts';
import type { CrashReport } from './QuarantineStore.ts';
import type { SuspectId } from './SuspectId.ts';
import { CRASH_TTL_MS, SuspectTable, TRIAL_DELAYS_MS } from './SuspectTable.ts';

const HARMFUL = toId<SuspectId>('bad');
const OTHER = toId<SuspectId>('other');

describe('SuspectTable', () => {
  let clock: ManualClock;
  let table: SuspectTable;

  beforeEach(() => {
    clock = new ManualClock();
    clock.advance(1_000);
    table = new SuspectTable(clock);
  });

  /** The upstream crashes 20 ms after the requests were sent, a second after the previous one. */
  function createReport(crashId: string, suspectIds: readonly SuspectId[], index = 0): CrashReport {
    const sentAtMs = index * 1_000;
    return {
      crashId,
      endedAtMs: sentAtMs + 20,
      suspects: suspectIds.map((suspectId) => ({ suspectId, sentAtMs })),
    };
  }

  function crash(count: number, suspectIds: readonly SuspectId[] = [HARMFUL]): void {
    Array.from({ length: count }, (_, index) => (
      table.addCrash(createReport(`u${index}@1`, suspectIds, index), 100 + index)));
  }

  it('holds a request after crashes of three upstreams, however often each is reported', () => {
    crash(2);
    crash(2);
    equal(table.getDecision(HARMFUL).kind, 'free');
    crash(3);
    deepEqual(table.getDecision(HARMFUL), {
      kind: 'trialDue', trialCount: 0, revision: 0, crashedAtMs: clock.getMonotonicMs(),
    });
    equal(table.getDecision(OTHER).kind, 'free');
  });

  it('clears a request that is answered and counts only later crashes', () => {
    crash(3);
    table.clear(HARMFUL, 200);
    equal(table.getDecision(HARMFUL).kind, 'free');
    // Older records may be read again after a gap in the history of the store.
    crash(3);
    equal(table.getDecision(HARMFUL).kind, 'free');
    Array.from({ length: 3 }, (_, index) => (
      table.addCrash(createReport(`v${index}@1`, [HARMFUL], index + 5), 300 + index)));
    equal(table.getDecision(HARMFUL).kind, 'trialDue');
  });

  it('allows three trials with growing delays and then none', () => {
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

  it('holds a request during a trial, for the maximum duration of a trial at most', () => {
    crash(3);
    table.setTrialCount(HARMFUL, 1, 200);
    const decision = table.getDecision(HARMFUL);
    ok(decision.kind === 'held' && decision.isOnTrial);
    clock.advance(decision.retryAfterMs);
    equal(table.getDecision(HARMFUL).kind, 'trialDue');
  });

  it('holds a request that failed its trials after its crashes have expired', () => {
    crash(3);
    table.setTrialCount(HARMFUL, 3, 200);
    clock.advance(CRASH_TTL_MS + 1);
    equal(table.getCrashCount(HARMFUL), 0);
    equal(table.getDecision(HARMFUL).kind, 'held');
    table.releaseTrials(HARMFUL);
    equal(table.getDecision(HARMFUL).kind, 'free');
  });

  it('does not count crashes after their TTL', () => {
    crash(2);
    clock.advance(CRASH_TTL_MS + 1);
    table.addCrash(createReport('late@1', [HARMFUL], 5), 500);
    equal(table.getDecision(HARMFUL).kind, 'free');
  });

  it('keeps held requests when the maximum number of suspects is exceeded', () => {
    crash(3);
    Array.from({ length: 11_000 }, (_, index) => (
      table.addCrash(createReport('rack@1', [toId<SuspectId>(`x${index}`)]), 400)));
    equal(table.getDecision(HARMFUL).kind, 'trialDue');
  });

  describe('with parts of prompts', () => {
    const CRASHING = toId<SuspectId>('part-bad');
    const SHARED = toId<SuspectId>('part-shared');

    it('does not hold a part that all requests share for crashes under a part among them', () => {
      table.clear(SHARED, 0);
      crash(3, [SHARED, CRASHING]);
      equal(table.getDecision(SHARED).kind, 'free');
      equal(table.getDecision(CRASHING).kind, 'trialDue');
    });

    it('holds a part that was answered before once it is at crashes without such a part', () => {
      table.clear(SHARED, 0);
      crash(3, [SHARED]);
      equal(table.getDecision(SHARED).kind, 'trialDue');
    });

    it('ends the hold of a shared part whose trial met a crash that another part explains', () => {
      crash(3, [SHARED, CRASHING]);
      table.setTrialCount(SHARED, 1, 200);
      equal(table.getDecision(SHARED).kind, 'held');
      table.clear(SHARED, 300);
      table.addCrash(createReport('late@1', [SHARED, CRASHING], 5), 400);
      table.setTrialCount(SHARED, 1, 500);
      equal(table.getDecision(SHARED).kind, 'free');
    });

    it('counts the crashes that hosts without answers of their own still count', () => {
      crash(1, [SHARED]);
      table.clear(SHARED, 0);
      table.addCrash(createReport('late@1', [SHARED], 5), 400);
      equal(table.getUnrecordedCrashCount(SHARED), 2);
      table.clear(SHARED, 500);
      equal(table.getUnrecordedCrashCount(SHARED), 0);
    });
  });

  it('does not count a trial that left no crash, as its host was killed meanwhile', () => {
    crash(3);
    table.setTrialCount(HARMFUL, 1, 200);
    clock.advance(5_001);
    const decision = table.getDecision(HARMFUL);
    equal(decision.kind === 'trialDue' && decision.trialCount, 0);
    table.addCrash(createReport('late@1', [HARMFUL], 5), 300);
    const failed = table.getDecision(HARMFUL);
    equal(failed.kind === 'trialDue' && failed.trialCount, 1);
  });

  describe('in a new era of the store', () => {
    const ERA = 2;

    it('keeps a trial count that the copy has not, and takes the revision of its record', () => {
      crash(3);
      table.setTrialCount(HARMFUL, 1, 300);
      table.setTrialCount(HARMFUL, 2, 400);
      table.startEra();
      table.setTrialCount(HARMFUL, 1, bindToEra(ERA, 300));
      equal(table.getTrialCount(HARMFUL), 2);
      deepEqual(table.getLostTrials(), [
        { suspectId: HARMFUL, trialCount: 2, revision: bindToEra(ERA, 300) },
      ]);
      table.setTrialCount(HARMFUL, 2, bindToEra(ERA, 310));
      deepEqual(table.getLostTrials(), []);
    });

    it('does not count crashes again that are written after the answer that cleared them', () => {
      crash(3);
      table.clear(HARMFUL, 200);
      table.startEra();
      table.addCrash(createReport('u0@1', [HARMFUL]), bindToEra(ERA, 500));
      equal(table.getCrashCount(HARMFUL), 0);
      table.addCrash(createReport('u9@1', [HARMFUL], 9), bindToEra(ERA, 501));
      equal(table.getCrashCount(HARMFUL), 1);
    });

    it('is not cleared by a record that was known before the crashes', () => {
      table.clear(HARMFUL, 50);
      crash(3);
      table.startEra();
      table.clear(HARMFUL, bindToEra(ERA, 50));
      equal(table.getCrashCount(HARMFUL), 3);
    });
  });
});
