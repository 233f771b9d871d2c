import type { EraBound } from '../directory/EraBound.ts';
import type { Clock } from '../time/Clock.ts';
import { countCrashes, type CrashedRun } from './countCrashes.ts';
import { AnsweredSuspects } from './AnsweredSuspects.ts';
import { ClearedSuspects } from './ClearedSuspects.ts';
import { CrashSuspects } from './CrashSuspects.ts';
import type { CrashReport } from './QuarantineStore.ts';
import { isPromptPart } from './isPromptPart.ts';
import type { SuspectId } from './SuspectId.ts';

/** Decision on whether requests with a suspect may be sent. */
export type SendDecision =
  | { readonly kind: 'free' }
  /** It may be sent once, by the host that takes the next trial. */
  | {
    readonly kind: 'trialDue';
    readonly trialCount: number;
    readonly revision: EraBound;
    /** When this host learned of the last crash. */
    readonly crashedAtMs: number;
  }
  /** It may not be sent now. */
  | {
    readonly kind: 'held';
    readonly retryAfterMs: number;
    /** Whether a trial that may clear it is possibly running. */
    readonly isOnTrial: boolean;
  };

interface RecordedRun extends CrashedRun {
  /** Revision of the crash record; infinite until the record of a crash detected here arrives. */
  readonly revision: EraBound;
  /** Monotonic time at which the record expires. */
  readonly untilMs: number;
}

/** State of a suspect that was at upstreams when they crashed, and was not answered since. */
interface SuspectState {
  /** Runs that a crash interrupted, by crash id. */
  readonly crashes: Map<string, RecordedRun>;
  trialCount: number;
  /** Revision of its trial record; 0 for none. */
  trialRevision: EraBound;
  /** Whether the trial count is of an earlier era of the store, which may have lost its record. */
  isTrialCountRestored: boolean;
  triedAtMs: number;
  /** When this host learned of the last crash. */
  crashedAtMs: number;
}

/** Trials of a suspect whose record a copy of the store lacks. */
export interface LostTrials {
  readonly suspectId: SuspectId;
  readonly trialCount: number;
  /** Revision of the older record that the copy has; 0 for none. */
  readonly revision: EraBound;
}

/** Crashes of a suspect after which requests with it are sent as a trial only. */
export const CRASH_LIMIT = 3;
/**
 * Delay before each trial. The first trial follows at once, so that a suspect that did not cause
 * the crashes is soon cleared; after the last failed trial, only an operator can clear it.
 */
export const TRIAL_DELAYS_MS: readonly number[] = [0, 5_000, 600_000];
/** The same for a part that was answered before, so that it is less likely to be the cause. */
const ANSWERED_TRIAL_DELAYS_MS: readonly number[] = [0, 5_000, 5_000, 600_000];
/** Maximum duration of a trial that ends by neither an answer nor a crash. */
const MAX_TRIAL_MS = 5_000;
/** How long a crash counts. */
export const CRASH_TTL_MS = 600_000;
/** Retry delay advised for a suspect that has failed its last trial. */
const TRIALS_USED_UP_RETRY_AFTER_MS = 3_600_000;
/** Maximum number of trial records in the store, where these do not expire. */
const MAX_TRIAL_RECORDS = 500;
/** Revision of a record that doesn't exist. */
const NO_REVISION: EraBound = 0;
/** Maximum number of suspects; those that are not held are evicted first. */
const MAX_SUSPECTS = 10_000;

/** Whether the last trial left no crash record, since its host was killed during the trial. */
function isLastTrialVoid(
  { crashes, trialCount, trialRevision }: SuspectState,
  nowMs: number,
): boolean {
  const runs = [...crashes.values()];
  return trialCount > 0 && trialRevision !== NO_REVISION
    && runs.some(({ untilMs }) => untilMs > nowMs)
    && runs.every(({ revision }) => revision < trialRevision);
}

/**
 * Keeps what was at upstreams when these crashed: requests, and parts of their prompts. What
 * crashes upstreams is never answered, so an answer clears it and only crashes after the last
 * answer count.
 * Records of all hosts arrive through the store and are ordered by its revisions.
 */
export class SuspectTable {
  readonly #clock: Clock;

  readonly #suspects = new Map<SuspectId, SuspectState>();

  readonly #cleared = new ClearedSuspects();

  readonly #answeredParts = new AnsweredSuspects();

  readonly #crashes = new CrashSuspects();

  /**
   * @param clock - source of the time
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether nothing is suspected. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  /**
   * Decides whether requests with a suspect may be sent.
   *
   * @param suspectId - the suspect
   * @returns the decision
   */
  getDecision(suspectId: SuspectId): SendDecision {
    const suspect = this.#suspects.get(suspectId);
    if (suspect === undefined || !this.#isHeld(suspectId, suspect)) {
      return { kind: 'free' };
    }
    const nowMs = this.#clock.getMonotonicMs();
    const { trialCount, trialRevision, triedAtMs } = suspect;
    const trialRemainingMs = triedAtMs + MAX_TRIAL_MS - nowMs;
    if (triedAtMs >= suspect.crashedAtMs && trialRemainingMs > 0) {
      return { kind: 'held', retryAfterMs: trialRemainingMs, isOnTrial: true };
    }
    const failedCount = trialCount - (isLastTrialVoid(suspect, nowMs) ? 1 : 0);
    const delayMs = this.#getTrialDelaysMs(suspectId)[failedCount];
    if (delayMs === undefined) {
      return { kind: 'held', retryAfterMs: TRIALS_USED_UP_RETRY_AFTER_MS, isOnTrial: false };
    }
    const waitMs = triedAtMs + delayMs - nowMs;
    return waitMs <= 0
      ? {
        kind: 'trialDue',
        trialCount: failedCount,
        revision: trialRevision,
        crashedAtMs: suspect.crashedAtMs,
      }
      : { kind: 'held', retryAfterMs: waitMs, isOnTrial: false };
  }

  /**
   * Counts the crashes of a suspect.
   *
   * @param suspectId - the suspect
   * @returns its crashes since it was last answered
   */
  getCrashCount(suspectId: SuspectId): number {
    const suspect = this.#suspects.get(suspectId);
    return suspect === undefined ? 0 : this.#countCrashes(suspect);
  }

  /**
   * Counts the crashes that hosts without answers of their own still count.
   *
   * @param suspectId - a suspect
   * @returns its crashes since its last record of an answer in the store
   */
  getUnrecordedCrashCount(suspectId: SuspectId): number {
    return this.#cleared.getUnrecordedCount(suspectId) + this.getCrashCount(suspectId);
  }

  /**
   * Gets the trial count of a suspect.
   *
   * @param suspectId - the suspect
   * @returns its trials since it was last answered
   */
  getTrialCount(suspectId: SuspectId): number {
    return this.#suspects.get(suspectId)?.trialCount ?? 0;
  }

  /**
   * Gets the revision of a suspect's trial record.
   *
   * @param suspectId - the suspect
   * @returns the revision; 0 when there is no record
   */
  getTrialRevision(suspectId: SuspectId): EraBound {
    return this.#suspects.get(suspectId)?.trialRevision ?? 0;
  }

  /** @returns the suspect with the oldest trial record when their maximum is reached; else null */
  getOldestTrial(): SuspectId | null {
    const tried = [...this.#suspects].filter(([, { trialCount }]) => trialCount > 0);
    const [oldest] = tried.sort(([, left], [, right]) => left.trialRevision - right.trialRevision);
    return tried.length < MAX_TRIAL_RECORDS ? null : oldest?.[0] ?? null;
  }

  /**
   * Adds a crash to the suspects that were at the upstream.
   *
   * @param report - the crash and the suspects
   * @param revision - revision of the record; infinite for a crash detected by this host
   */
  addCrash({ crashId, endedAtMs, suspects }: CrashReport, revision: EraBound): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#crashes.add(crashId, suspects.map(({ suspectId }) => suspectId));
    suspects
      .filter(({ suspectId }) => !this.#cleared.isClearedSince(suspectId, revision)
        && !this.#cleared.hasCrash(suspectId, crashId))
      .map(({ suspectId, sentAtMs }) => ({ suspect: this.#getOrCreate(suspectId), sentAtMs }))
      // Each host reports the same crash, with its own time.
      .forEach(({ suspect, sentAtMs }) => {
        const known = suspect.crashes.get(crashId);
        if (known !== undefined) {
          const firstRevision = Math.min(known.revision, revision);
          suspect.crashes.set(crashId, { ...known, revision: firstRevision });
          return;
        }
        suspect.crashes.set(crashId, {
          sentAtMs, endedAtMs, revision, untilMs: nowMs + CRASH_TTL_MS,
        });
        suspect.crashedAtMs = nowMs;
      });
  }

  /**
   * Clears a suspect that was answered.
   *
   * @param suspectId - the suspect
   * @param revision - revision of the record; 0 for an answer received by this host
   */
  clear(suspectId: SuspectId, revision: EraBound): void {
    if (isPromptPart(suspectId)) {
      this.#answeredParts.add(suspectId);
    }
    // A record that is read again may be older than the trial record known here.
    if (revision > 0 && (revision < this.getTrialRevision(suspectId)
      || this.#cleared.isKnownRecord(suspectId, revision))) {
      return;
    }
    const crashIds = [...this.#suspects.get(suspectId)?.crashes.keys() ?? []];
    this.#suspects.delete(suspectId);
    if (revision > 0 || crashIds.length > 0) {
      this.#cleared.add(suspectId, revision, crashIds);
    }
  }

  /** @param suspectId - a cleared suspect whose answer this host is about to record in the store */
  markRecorded(suspectId: SuspectId): void {
    this.#cleared.markRecorded(suspectId);
  }

  /**
   * Prepares for a new era of the store, whose copy may lack the newest records: its revisions are
   * not those known here, and a lower trial count in it is outdated.
   */
  startEra(): void {
    this.#suspects.forEach((suspect) => {
      const changed = suspect;
      changed.trialRevision = NO_REVISION;
      changed.isTrialCountRestored = suspect.trialCount > 0;
      // Revisions of different eras don't tell which record was written first.
      suspect.crashes.forEach((run, crashId) => (
        suspect.crashes.set(crashId, { ...run, revision: Infinity })));
    });
  }

  /** @returns the suspects whose trial count the store does not have, since it lost the record */
  getLostTrials(): LostTrials[] {
    return [...this.#suspects]
      .filter(([, { isTrialCountRestored }]) => isTrialCountRestored)
      .map(([suspectId, { trialCount, trialRevision }]) => ({
        suspectId, trialCount, revision: trialRevision,
      }));
  }

  /**
   * Applies a trial record if it is newer than the known one.
   *
   * @param suspectId - a suspect that is or was on trial
   * @param trialCount - its trials so far
   * @param revision - revision of the record
   */
  setTrialCount(suspectId: SuspectId, trialCount: number, revision: EraBound): void {
    const isNewer = !this.#cleared.isClearedSince(suspectId, revision)
      && revision > this.getTrialRevision(suspectId);
    if (!isNewer) {
      return;
    }
    const suspect = this.#getOrCreate(suspectId);
    suspect.trialRevision = revision;
    // The copy of the store may have an older record, with a lower count.
    if (suspect.isTrialCountRestored && trialCount < suspect.trialCount) {
      return;
    }
    suspect.isTrialCountRestored = false;
    suspect.trialCount = trialCount;
    suspect.triedAtMs = this.#clock.getMonotonicMs();
  }

  /**
   * Records a trial at another host, whose record is still to arrive from the store.
   *
   * @param suspectId - the suspect on trial
   */
  recordRemoteTrial(suspectId: SuspectId): void {
    this.#getOrCreate(suspectId).triedAtMs = this.#clock.getMonotonicMs();
  }

  /**
   * Changes the trial count of a suspect while the store is unavailable; the next record from the
   * store replaces it.
   *
   * @param suspectId - the suspect
   * @param change - 1 for a trial that begins, -1 for one whose request was not run
   */
  adjustTrialCount(suspectId: SuspectId, change: 1 | -1): void {
    const suspect = this.#getOrCreate(suspectId);
    suspect.trialCount = Math.max(0, suspect.trialCount + change);
    suspect.triedAtMs = change === 1 ? this.#clock.getMonotonicMs() : -Infinity;
  }

  /**
   * Releases a suspect whose trial record was removed from the store.
   *
   * @param suspectId - the suspect
   */
  releaseTrials(suspectId: SuspectId): void {
    this.#suspects.delete(suspectId);
  }

  #getTrialDelaysMs(suspectId: SuspectId): readonly number[] {
    return this.#answeredParts.has(suspectId) ? ANSWERED_TRIAL_DELAYS_MS : TRIAL_DELAYS_MS;
  }

  #isHeld(suspectId: SuspectId, suspect: SuspectState): boolean {
    if (!this.#isImplicated(suspect)) {
      return false;
    }
    const unexplained = [...suspect.crashes]
      .filter(([crashId]) => !this.#isExplained(suspectId, crashId))
      .map(([, run]) => run);
    const isExplained = suspect.crashes.size > 0 && unexplained.length === 0;
    return suspect.trialCount > 0 ? !isExplained : this.#countRuns(unexplained) >= CRASH_LIMIT;
  }

  /** Whether a suspect is on trial, or was at as many crashes as one that caused them. */
  #isImplicated(suspect: SuspectState): boolean {
    return suspect.trialCount > 0 || this.#countCrashes(suspect) >= CRASH_LIMIT;
  }

  /**
   * Whether something that was never answered is the likelier cause of a crash than a part that
   * was answered before: a part that all requests of a kind share is at every crash too.
   */
  #isExplained(suspectId: SuspectId, crashId: string): boolean {
    return this.#answeredParts.has(suspectId)
      && this.#crashes.get(crashId).some((otherId) => {
        const other = this.#suspects.get(otherId);
        return otherId !== suspectId && other !== undefined
          && !this.#answeredParts.has(otherId) && this.#isImplicated(other);
      });
  }

  #countCrashes({ crashes }: SuspectState): number {
    return this.#countRuns([...crashes.values()]);
  }

  #countRuns(runs: readonly RecordedRun[]): number {
    const nowMs = this.#clock.getMonotonicMs();
    return countCrashes(runs.filter(({ untilMs }) => untilMs > nowMs));
  }

  #getOrCreate(suspectId: SuspectId): SuspectState {
    const known = this.#suspects.get(suspectId);
    if (known !== undefined) {
      return known;
    }
    this.#evict();
    const suspect: SuspectState = {
      crashes: new Map(),
      trialCount: 0,
      trialRevision: NO_REVISION,
      isTrialCountRestored: false,
      triedAtMs: -Infinity,
      crashedAtMs: -Infinity,
    };
    this.#suspects.set(suspectId, suspect);
    return suspect;
  }

  /** Evicts suspects whose crashes have expired; if none has, the oldest that is not held. */
  #evict(): void {
    if (this.#suspects.size < MAX_SUSPECTS) {
      return;
    }
    this.#suspects.forEach((suspect, suspectId) => {
      if (suspect.trialCount === 0 && this.#countCrashes(suspect) === 0) {
        this.#suspects.delete(suspectId);
      }
    });
    if (this.#suspects.size >= MAX_SUSPECTS) {
      const oldest = [...this.#suspects].find(([, suspect]) => !this.#isImplicated(suspect))
        ?? [...this.#suspects][0];
      if (oldest !== undefined) {
        this.#suspects.delete(oldest[0]);
      }
    }
  }
}
