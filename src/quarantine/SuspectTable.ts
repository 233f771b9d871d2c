import type { Clock } from '../time/Clock.ts';
import { countCrashes, type CrashedRun } from './countCrashes.ts';
import type { CrashReport } from './QuarantineStore.ts';

/** Whether a request may be sent. */
export type SendDecision =
  | { readonly kind: 'free' }
  /** It may be sent once, by the host that takes the next trial. */
  | { readonly kind: 'trialDue'; readonly trialCount: number; readonly revision: number }
  /** It may not be sent now. */
  | {
    readonly kind: 'held';
    readonly retryAfterMs: number;
    /** Whether a trial may be under way that will clear it. */
    readonly isOnTrial: boolean;
  };

interface RecordedRun extends CrashedRun {
  /** Monotonic time at which it is forgotten. */
  readonly untilMs: number;
}

/** A request that was with upstreams when they crashed, and was not answered since. */
interface Suspect {
  /** Runs that crashes broke off, by the start of the upstream. */
  readonly crashes: Map<string, RecordedRun>;
  trialCount: number;
  /** Revision of the record of its trials; 0 for none. */
  trialRevision: number;
  triedAtMs: number;
  /** When the last crash became known here. */
  crashedAtMs: number;
}

/** Crashes under a request after which it is only sent on trial. */
export const CRASH_LIMIT = 3;
/**
 * Pause before each trial. The first one follows at once, so that a request which merely was there
 * is soon free again; when the last one has failed, only an operator lets the request go.
 */
export const TRIAL_DELAYS_MS: readonly number[] = [0, 5_000, 600_000];
/** How long a trial may be under way that neither an answer nor a crash has ended. */
const MAX_TRIAL_MS = 5_000;
/** How long a crash is remembered. */
export const CRASH_TTL_MS = 600_000;
/** When to come back with a request that has failed its last trial. */
const TRIALS_USED_UP_RETRY_AFTER_MS = 3_600_000;
/** Requests whose trials the store remembers for good. */
const MAX_TRIAL_RECORDS = 500;
/** Requests that are remembered; those that are not held go first. */
const MAX_SUSPECTS = 10_000;

/**
 * Which requests were with upstreams when these crashed. A request that ends upstreams is never
 * answered, so that an answer clears it, and crashes only count since the last one. Records come
 * from all hosts through the store and are ordered by its revisions.
 */
export class SuspectTable {
  readonly #clock: Clock;

  readonly #suspects = new Map<string, Suspect>();

  /** The revision at which a request was last told to be harmless, and when that is forgotten. */
  readonly #cleared = new Map<string, { readonly revision: number; readonly untilMs: number }>();

  /**
   * @param clock - the time
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether no request at all is suspected. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  /**
   * @param fingerprint - a request
   * @returns whether it may be sent
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
   * @param fingerprint - a request
   * @returns crashes under it since it was last answered
   */
  getCrashCount(fingerprint: string): number {
    const suspect = this.#suspects.get(fingerprint);
    return suspect === undefined ? 0 : this.#countCrashes(suspect);
  }

  /**
   * @param fingerprint - a request
   * @returns its trials since it was last answered
   */
  getTrialCount(fingerprint: string): number {
    return this.#suspects.get(fingerprint)?.trialCount ?? 0;
  }

  /**
   * @param fingerprint - a request
   * @returns the revision of the record of its trials; 0 when there is none
   */
  getTrialRevision(fingerprint: string): number {
    return this.#suspects.get(fingerprint)?.trialRevision ?? 0;
  }

  /** @returns the request tried the longest ago, when too many are remembered; else null */
  getOldestTrial(): string | null {
    const tried = [...this.#suspects].filter(([, { trialCount }]) => trialCount > 0);
    const [oldest] = tried.sort(([, left], [, right]) => left.trialRevision - right.trialRevision);
    return tried.length < MAX_TRIAL_RECORDS ? null : oldest?.[0] ?? null;
  }

  /**
   * @param report - a crash, and requests that were there
   * @param revision - of the record; infinite for what this host has seen itself
   */
  addCrash({ crashId, endedAtMs, requests }: CrashReport, revision: number): void {
    const nowMs = this.#clock.getMonotonicMs();
    requests
      .filter(({ fingerprint }) => !this.#isClearedSince(fingerprint, revision))
      .map(({ fingerprint, sentAtMs }) => ({ suspect: this.#getOrCreate(fingerprint), sentAtMs }))
      // Each host tells of a crash, and at its own time.
      .filter(({ suspect }) => !suspect.crashes.has(crashId))
      .forEach(({ suspect, sentAtMs }) => {
        suspect.crashes.set(crashId, { sentAtMs, endedAtMs, untilMs: nowMs + CRASH_TTL_MS });
        suspect.crashedAtMs = nowMs;
      });
  }

  /**
   * @param fingerprint - a request that was answered
   * @param revision - of the record that says so; 0 for what this host has seen itself
   */
  clear(fingerprint: string, revision: number): void {
    // A record that is read again may be older than what stands here.
    if (revision > 0 && revision < this.getTrialRevision(fingerprint)) {
      return;
    }
    this.#suspects.delete(fingerprint);
    if (revision > 0) {
      const untilMs = this.#clock.getMonotonicMs() + CRASH_TTL_MS;
      this.#cleared.delete(fingerprint);
      this.#cleared.set(fingerprint, { revision, untilMs });
      this.#evictOldestCleared();
    }
  }

  /**
   * @param fingerprint - a request that is or was on trial
   * @param trialCount - its trials so far
   * @param revision - of the record that says so
   */
  setTrialCount(fingerprint: string, trialCount: number, revision: number): void {
    const isNewer = !this.#isClearedSince(fingerprint, revision)
      && revision > this.getTrialRevision(fingerprint);
    if (isNewer) {
      Object.assign(this.#getOrCreate(fingerprint), {
        trialCount, trialRevision: revision, triedAtMs: this.#clock.getMonotonicMs(),
      });
    }
  }

  /** @param fingerprint - a request that another host has on trial, as the store will tell */
  recordRemoteTrial(fingerprint: string): void {
    this.#getOrCreate(fingerprint).triedAtMs = this.#clock.getMonotonicMs();
  }

  /**
   * Changes the trials of a request while the store cannot keep them; its next record replaces
   * them.
   *
   * @param fingerprint - the request
   * @param change - 1 for a trial that begins, -1 for one that came to no run
   */
  adjustTrialCount(fingerprint: string, change: 1 | -1): void {
    const suspect = this.#getOrCreate(fingerprint);
    suspect.trialCount = Math.max(0, suspect.trialCount + change);
    suspect.triedAtMs = change === 1 ? this.#clock.getMonotonicMs() : -Infinity;
  }

  /** @param fingerprint - a request whose record of trials is gone */
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

  #isClearedSince(fingerprint: string, revision: number): boolean {
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
      trialRevision: 0,
      triedAtMs: -Infinity,
      crashedAtMs: -Infinity,
    };
    this.#suspects.set(fingerprint, suspect);
    return suspect;
  }

  /** Requests whose crashes are forgotten go first, then the oldest that is not held. */
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
