import { getEra, getUnbound, type EraBound } from '../directory/EraBound.ts';
import type { Clock } from '../time/Clock.ts';
import { countCrashes, type CrashedRun } from './countCrashes.ts';
import type { CrashReport } from './QuarantineStore.ts';

/** Decision on whether a request may be sent. */
export type SendDecision =
  | { readonly kind: 'free' }
  /** It may be sent once, by the host that takes the next trial. */
  | { readonly kind: 'trialDue'; readonly trialCount: number; readonly revision: EraBound }
  /** It may not be sent now. */
  | {
    readonly kind: 'held';
    readonly retryAfterMs: number;
    /** Whether a trial that may clear it is possibly running. */
    readonly isOnTrial: boolean;
  };

interface RecordedRun extends CrashedRun {
  /** Monotonic time at which the record expires. */
  readonly untilMs: number;
}

/** A request that was running at upstreams when they crashed, and was not answered since. */
interface Suspect {
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

/** Trials of a request whose record a copy of the store lacks. */
export interface LostTrials {
  readonly fingerprint: string;
  readonly trialCount: number;
  /** Revision of the older record that the copy has; 0 for none. */
  readonly revision: EraBound;
}

/** Record that cleared a request. */
interface ClearedRequest {
  readonly revision: EraBound;
  /** Crashes from before the record, which don't count even when they are recorded again. */
  readonly crashIds: ReadonlySet<string>;
  /** When the entry expires. */
  readonly untilMs: number;
}

/** Crashes of a request after which it is sent as a trial only. */
export const CRASH_LIMIT = 3;
/**
 * Delay before each trial. The first trial follows at once, so that a request that did not cause
 * the crashes is soon cleared; after the last failed trial, only an operator can clear the request.
 */
export const TRIAL_DELAYS_MS: readonly number[] = [0, 5_000, 600_000];
/** Maximum duration of a trial that ends by neither an answer nor a crash. */
const MAX_TRIAL_MS = 5_000;
/** How long a crash counts. */
export const CRASH_TTL_MS = 600_000;
/** Retry delay advised for a request that has failed its last trial. */
const TRIALS_USED_UP_RETRY_AFTER_MS = 3_600_000;
/** Maximum number of trial records in the store, where these do not expire. */
const MAX_TRIAL_RECORDS = 500;
/** Revision of a record that doesn't exist. */
const NO_REVISION: EraBound = 0;
/** Maximum number of suspects; those that are not held are evicted first. */
const MAX_SUSPECTS = 10_000;

/** Whether two revisions are of one record, which a copy of the store has in a later era. */
function isSameRecord(known: EraBound, revision: EraBound): boolean {
  return getEra(known) !== getEra(revision) && getUnbound(known) === getUnbound(revision);
}

/**
 * Keeps the requests that were running at upstreams when these crashed. A request that crashes
 * upstreams is never answered, so an answer clears it and only crashes after the last answer count.
 * Records of all hosts arrive through the store and are ordered by its revisions.
 */
export class SuspectTable {
  readonly #clock: Clock;

  readonly #suspects = new Map<string, Suspect>();

  readonly #cleared = new Map<string, ClearedRequest>();

  /**
   * @param clock - source of the time
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether no request is suspected. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  /**
   * Decides whether a request may be sent.
   *
   * @param fingerprint - the request
   * @returns the decision
   */
  getDecision(fingerprint: string): SendDecision {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || !this.#isHeld(suspect)) {
      return { kind: 'free' };
    }
    const nowMs = this.#clock.getMonotonicMs();
    const { trialCount, trialRevision, triedAtMs } = suspect;
    const trialRemainingMs = triedAtMs + MAX_TRIAL_MS - nowMs;
    if (triedAtMs >= suspect.crashedAtMs && trialRemainingMs > 0) {
      return { kind: 'held', retryAfterMs: trialRemainingMs, isOnTrial: true };
    }
    const delayMs = TRIAL_DELAYS_MS[trialCount];
    if (delayMs === undefined) {
      return { kind: 'held', retryAfterMs: TRIALS_USED_UP_RETRY_AFTER_MS, isOnTrial: false };
    }
    const waitMs = triedAtMs + delayMs - nowMs;
    return waitMs <= 0
      ? { kind: 'trialDue', trialCount, revision: trialRevision }
      : { kind: 'held', retryAfterMs: waitMs, isOnTrial: false };
  }

  /**
   * Counts the crashes of a request.
   *
   * @param fingerprint - the request
   * @returns its crashes since it was last answered
   */
  getCrashCount(fingerprint: string): number {
    const suspect = this.#suspects.get(fingerprint);
    return suspect === undefined ? 0 : this.#countCrashes(suspect);
  }

  /**
   * Gets the trial count of a request.
   *
   * @param fingerprint - the request
   * @returns its trials since it was last answered
   */
  getTrialCount(fingerprint: string): number {
    return this.#suspects.get(fingerprint)?.trialCount ?? 0;
  }

  /**
   * Gets the revision of a request's trial record.
   *
   * @param fingerprint - the request
   * @returns the revision; 0 when there is no record
   */
  getTrialRevision(fingerprint: string): EraBound {
    return this.#suspects.get(fingerprint)?.trialRevision ?? 0;
  }

  /** @returns the request with the oldest trial record when their maximum is reached; else null */
  getOldestTrial(): string | null {
    const tried = [...this.#suspects].filter(([, { trialCount }]) => trialCount > 0);
    const [oldest] = tried.sort(([, left], [, right]) => left.trialRevision - right.trialRevision);
    return tried.length < MAX_TRIAL_RECORDS ? null : oldest?.[0] ?? null;
  }

  /**
   * Adds a crash to the requests that were running at the upstream.
   *
   * @param report - the crash and the requests
   * @param revision - revision of the record; infinite for a crash detected by this host
   */
  addCrash({ crashId, endedAtMs, requests }: CrashReport, revision: EraBound): void {
    const nowMs = this.#clock.getMonotonicMs();
    requests
      .filter(({ fingerprint }) => !this.#isClearedSince(fingerprint, revision)
        && this.#cleared.get(fingerprint)?.crashIds.has(crashId) !== true)
      .map(({ fingerprint, sentAtMs }) => ({ suspect: this.#getOrCreate(fingerprint), sentAtMs }))
      // Each host reports the same crash, with its own time.
      .filter(({ suspect }) => !suspect.crashes.has(crashId))
      .forEach(({ suspect, sentAtMs }) => {
        suspect.crashes.set(crashId, { sentAtMs, endedAtMs, untilMs: nowMs + CRASH_TTL_MS });
        suspect.crashedAtMs = nowMs;
      });
  }

  /**
   * Clears a request that was answered.
   *
   * @param fingerprint - the request
   * @param revision - revision of the record; 0 for an answer received by this host
   */
  clear(fingerprint: string, revision: EraBound): void {
    // A record that is read again may be older than the trial record known here.
    const known = this.#cleared.get(fingerprint);
    if (revision > 0 && (revision < this.getTrialRevision(fingerprint)
      || (known !== undefined && isSameRecord(known.revision, revision)))) {
      return;
    }
    const crashIds = new Set([
      ...known?.crashIds ?? [],
      ...this.#suspects.get(fingerprint)?.crashes.keys() ?? [],
    ]);
    this.#suspects.delete(fingerprint);
    if (revision > 0 || crashIds.size > 0) {
      const untilMs = this.#clock.getMonotonicMs() + CRASH_TTL_MS;
      this.#cleared.delete(fingerprint);
      this.#cleared.set(fingerprint, {
        revision: Math.max(revision, known?.revision ?? NO_REVISION), crashIds, untilMs,
      });
      this.#evictOldestCleared();
    }
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
    });
  }

  /** @returns the requests whose trial count the store does not have, since it lost the record */
  getLostTrials(): LostTrials[] {
    return [...this.#suspects]
      .filter(([, { isTrialCountRestored }]) => isTrialCountRestored)
      .map(([fingerprint, { trialCount, trialRevision }]) => ({
        fingerprint, trialCount, revision: trialRevision,
      }));
  }

  /**
   * Applies a trial record if it is newer than the known one.
   *
   * @param fingerprint - a request that is or was on trial
   * @param trialCount - its trials so far
   * @param revision - revision of the record
   */
  setTrialCount(fingerprint: string, trialCount: number, revision: EraBound): void {
    const isNewer = !this.#isClearedSince(fingerprint, revision)
      && revision > this.getTrialRevision(fingerprint);
    if (!isNewer) {
      return;
    }
    const suspect = this.#getOrCreate(fingerprint);
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
   * @param fingerprint - the request on trial
   */
  recordRemoteTrial(fingerprint: string): void {
    this.#getOrCreate(fingerprint).triedAtMs = this.#clock.getMonotonicMs();
  }

  /**
   * Changes the trial count of a request while the store is unavailable; the next record from the
   * store replaces it.
   *
   * @param fingerprint - the request
   * @param change - 1 for a trial that begins, -1 for one whose request was not run
   */
  adjustTrialCount(fingerprint: string, change: 1 | -1): void {
    const suspect = this.#getOrCreate(fingerprint);
    suspect.trialCount = Math.max(0, suspect.trialCount + change);
    suspect.triedAtMs = change === 1 ? this.#clock.getMonotonicMs() : -Infinity;
  }

  /**
   * Releases a request whose trial record was removed from the store.
   *
   * @param fingerprint - the request
   */
  releaseTrials(fingerprint: string): void {
    this.#suspects.delete(fingerprint);
  }

  #isHeld(suspect: Suspect): boolean {
    return suspect.trialCount > 0 || this.#countCrashes(suspect) >= CRASH_LIMIT;
  }

  #countCrashes({ crashes }: Suspect): number {
    const nowMs = this.#clock.getMonotonicMs();
    return countCrashes([...crashes.values()].filter(({ untilMs }) => untilMs > nowMs));
  }

  #isClearedSince(fingerprint: string, revision: EraBound): boolean {
    const cleared = this.#cleared.get(fingerprint);
    return cleared !== undefined && revision < cleared.revision;
  }

  #getOrCreate(fingerprint: string): Suspect {
    const known = this.#suspects.get(fingerprint);
    if (known !== undefined) {
      return known;
    }
    this.#evict();
    const suspect: Suspect = {
      crashes: new Map(),
      trialCount: 0,
      trialRevision: NO_REVISION,
      isTrialCountRestored: false,
      triedAtMs: -Infinity,
      crashedAtMs: -Infinity,
    };
    this.#suspects.set(fingerprint, suspect);
    return suspect;
  }

  /** Evicts requests whose crashes have expired; if none has, the oldest that is not held. */
  #evict(): void {
    if (this.#suspects.size < MAX_SUSPECTS) {
      return;
    }
    this.#suspects.forEach((suspect, fingerprint) => {
      if (suspect.trialCount === 0 && this.#countCrashes(suspect) === 0) {
        this.#suspects.delete(fingerprint);
      }
    });
    if (this.#suspects.size >= MAX_SUSPECTS) {
      const oldest = [...this.#suspects].find(([, suspect]) => !this.#isHeld(suspect))
        ?? [...this.#suspects][0];
      this.#suspects.delete(oldest?.[0] ?? '');
    }
  }

  #evictOldestCleared(): void {
    const nowMs = this.#clock.getMonotonicMs();
    const oldest = [...this.#cleared].find(([, { untilMs }]) => untilMs > nowMs);
    if (this.#cleared.size > MAX_SUSPECTS && oldest !== undefined) {
      this.#cleared.delete(oldest[0]);
    }
  }
}
