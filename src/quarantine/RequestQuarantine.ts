import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { DirectoryChange } from '../directory/DirectoryChange.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { HostId, PoolId } from '../lib/ids.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { Clock } from '../time/Clock.ts';
import { scheduleTimer, type Schedule } from '../time/scheduleTimer.ts';
import { CrashMonitor, getCrashId } from './CrashMonitor.ts';
import type { CrashReport, QuarantineStore } from './QuarantineStore.ts';
import { QuarantineWriter } from './QuarantineWriter.ts';
import type { RequestSubject } from './RequestSubject.ts';
import {
  CRASH_LIMIT, SuspectTable, type LostTrials, type SendDecision,
} from './SuspectTable.ts';
import type { UpstreamCheck } from './UpstreamCheck.ts';

/** Options of a {@link RequestQuarantine}. */
export interface RequestQuarantineOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  /** Delivers the records of other hosts. */
  readonly directory: Directory;
  readonly store: QuarantineStore;
  readonly check: UpstreamCheck;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Runs an action after a delay; replaced in tests. */
  readonly schedule?: Schedule;
  /** Called for each crash that this host has detected. */
  readonly onCrash?: (poolId: PoolId) => void;
}

/** Decision on whether a request may be sent. */
export type QuarantineDecision =
  | { readonly kind: 'free' }
  /** It may be sent once; the outcome decides for all requests with its fingerprint. */
  | { readonly kind: 'trial' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** Crashes of a request from which on its answer is announced to the other hosts. */
const ANNOUNCED_CRASH_COUNT = CRASH_LIMIT - 1;
/** Longest delay before trial counts are written again that the store has lost. */
const MAX_RESTORE_DELAY_MS = 1_000;
/** Maximum number of crashes whose times are kept. */
const MAX_CRASH_TIMES = 1_000;

/**
 * Holds back requests that crash upstreams. A request that was running at three upstreams when they
 * crashed, and was not answered since, is sent as a trial only: once, by one host of the fleet. An
 * answer clears it, so that a request that did not cause the crashes is soon sent normally again.
 */
export class RequestQuarantine {
  readonly #options: RequestQuarantineOptions;

  readonly #table: SuspectTable;

  readonly #crashMonitor: CrashMonitor;

  readonly #writer: QuarantineWriter;

  #isClosed = false;

  /** When this host learned of each recent crash. */
  readonly #crashedAtMs = new Map<string, number>();

  /** Callbacks that wake the requests waiting for a trial to end. */
  readonly #waiting = new Set<() => void>();

  /**
   * @param options - see {@link RequestQuarantineOptions}
   */
  constructor(options: RequestQuarantineOptions) {
    this.#options = options;
    this.#table = new SuspectTable(options.clock);
    this.#writer = new QuarantineWriter(options);
    this.#crashMonitor = new CrashMonitor({
      ...options,
      onCrash: (report, poolId) => this.#recordCrash(report, poolId),
    });
    options.directory.onChange((change) => this.#applyChange(change));
  }

  /**
   * Decides whether a request may be sent without a trial.
   *
   * @param subject - the request
   * @returns whether it is not held
   */
  isFree(subject: RequestSubject): boolean {
    return this.#table.isEmpty || this.#table.getDecision(subject.fingerprint).kind === 'free';
  }

  /**
   * Decides on a request that is not free; waits for the outcome of a running trial.
   *
   * @param subject - the request
   * @param requestId - identifies the caller's request in the log
   * @param maxWaitMs - maximum time to wait
   * @returns the decision
   */
  async admit(
    subject: RequestSubject,
    requestId: string,
    maxWaitMs: number,
  ): Promise<QuarantineDecision> {
    const { clock } = this.#options;
    const untilMs = clock.getMonotonicMs() + maxWaitMs;
    const { fingerprint } = subject;
    let admission = await this.#decide(fingerprint, requestId);
    while (admission === null) {
      const waitMs = untilMs - clock.getMonotonicMs();
      // eslint-disable-next-line no-await-in-loop -- each change is evaluated in turn
      const hasChanged = waitMs > 0 && await this.#waitForChange(waitMs);
      const decision = this.#table.getDecision(fingerprint);
      if (!hasChanged && decision.kind === 'held') {
        // Most trials end within the time that such requests usually take.
        admission = { kind: 'refused', retryAfterMs: Math.min(maxWaitMs, decision.retryAfterMs) };
      } else {
        // eslint-disable-next-line no-await-in-loop -- as above
        admission = await this.#decide(fingerprint, requestId);
      }
    }
    this.#log('admitted', fingerprint, { requestId, admission });
    return admission;
  }

  /**
   * Records that the exchange with an upstream broke during a request.
   *
   * @param subject - the request
   * @param entry - the upstream, as it was when the request was sent
   * @param send - when the request was sent, and whether as a trial
   */
  recordBrokenExchange(
    subject: RequestSubject,
    entry: UpstreamEntry,
    { sentAtMs, isTrial }: { readonly sentAtMs: number; readonly isTrial: boolean },
  ): void {
    const crashedAtMs = this.#crashedAtMs.get(getCrashId(entry)) ?? Infinity;
    if (sentAtMs > crashedAtMs) {
      // The upstream had crashed before the send, so the trial shows nothing.
      this.#endTrial(subject, isTrial, false);
      return;
    }
    this.#crashMonitor.recordBrokenExchange({
      entry,
      fingerprint: subject.fingerprint,
      sentAtMs,
      onDecided: (hasEnded) => this.#endTrial(subject, isTrial, hasEnded),
    });
  }

  /**
   * Checks that an upstream is alive before a trial.
   *
   * @param entry - the upstream chosen for the trial
   * @returns whether it has answered that it is alive
   */
  async isAlive(entry: UpstreamEntry): Promise<boolean> {
    return await this.#crashMonitor.queryLiveness(entry) === 'alive';
  }

  #endTrial(subject: RequestSubject, isTrial: boolean, hasEndedUpstream: boolean): void {
    if (isTrial && !hasEndedUpstream) {
      this.returnTrial(subject);
    }
  }

  /**
   * Records that an upstream answered a request, which clears the request.
   *
   * @param subject - the request
   */
  recordAnswered(subject: RequestSubject): void {
    if (this.#table.isEmpty) {
      return;
    }
    const { fingerprint } = subject;
    const isAnnounced = !this.isFree(subject)
      || this.#table.getCrashCount(fingerprint) >= ANNOUNCED_CRASH_COUNT;
    this.#table.clear(fingerprint, 0);
    if (isAnnounced) {
      this.#log('cleared', fingerprint, {});
      this.#writer.addCleared(fingerprint);
      this.#wakeWaiting();
    }
  }

  /**
   * Returns a trial whose request was not run, so that it does not count.
   *
   * @param subject - the request
   */
  returnTrial({ fingerprint }: RequestSubject): void {
    const revision = this.#table.getTrialRevision(fingerprint);
    const trialCount = this.#table.getTrialCount(fingerprint) - 1;
    if (trialCount < 0) {
      return;
    }
    this.#options.store.writeTrials({
      fingerprint, trialCount, expectedRevision: revision, evictedFingerprint: null,
    }).then((newRevision) => {
      this.#log('trialReturned', fingerprint, { trialCount, revision: newRevision });
      if (newRevision !== null) {
        this.#table.setTrialCount(fingerprint, trialCount, newRevision);
        this.#wakeWaiting();
      }
    }).catch((error: unknown) => {
      this.#log('trialReturnedAlone', fingerprint, { trialCount, error: String(error) });
      this.#table.adjustTrialCount(fingerprint, -1);
      this.#wakeWaiting();
    });
  }

  /** Stops background writes and wakes all waiting requests. */
  close(): void {
    this.#isClosed = true;
    this.#writer.close();
    this.#wakeWaiting();
  }

  /** @returns the decision; null while a running trial may clear the request */
  async #decide(fingerprint: string, requestId: string): Promise<QuarantineDecision | null> {
    const decision = this.#table.getDecision(fingerprint);
    switch (decision.kind) {
      case 'free':
        return decision;
      case 'trialDue':
        return this.#takeTrial(fingerprint, requestId, decision);
      case 'held':
        return decision.isOnTrial ? null : { kind: 'refused', retryAfterMs: decision.retryAfterMs };
      default:
        throw exhaustiveSwitchError(decision);
    }
  }

  async #takeTrial(
    fingerprint: string,
    requestId: string,
    due: Extract<SendDecision, { kind: 'trialDue' }>,
  ): Promise<QuarantineDecision | null> {
    const trialCount = due.trialCount + 1;
    try {
      const revision = await this.#options.store.writeTrials({
        fingerprint,
        trialCount,
        expectedRevision: due.revision,
        evictedFingerprint: this.#table.getOldestTrial(),
      });
      this.#log('trialTaken', fingerprint, { requestId, trialCount, revision });
      if (revision === null) {
        this.#table.recordRemoteTrial(fingerprint);
        return null;
      }
      this.#table.setTrialCount(fingerprint, trialCount, revision);
      return { kind: 'trial' };
    } catch (error) {
      // A host without access to the store relies on its own trial count.
      this.#log('trialAlone', fingerprint, { requestId, trialCount, error: String(error) });
      if (this.#table.getDecision(fingerprint).kind !== 'trialDue') {
        return null;
      }
      this.#table.adjustTrialCount(fingerprint, 1);
      return { kind: 'trial' };
    }
  }

  #recordCrash(report: CrashReport, poolId: PoolId): void {
    this.#options.logger.warn(
      { event: 'upstreamCrashed', poolId, ...report },
      'an upstream crashed while it was running requests',
    );
    this.#options.onCrash?.(poolId);
    this.#recordCrashTime(report.crashId);
    this.#table.addCrash(report, Infinity);
    this.#writer.addCrash(report);
  }

  #recordCrashTime(crashId: string): void {
    const knownAtMs = this.#crashedAtMs.get(crashId) ?? this.#options.clock.getMonotonicMs();
    this.#crashedAtMs.set(crashId, knownAtMs);
    const [oldest] = this.#crashedAtMs.keys();
    if (oldest !== undefined && this.#crashedAtMs.size > MAX_CRASH_TIMES) {
      this.#crashedAtMs.delete(oldest);
    }
  }

  #applyChange(change: DirectoryChange): void {
    switch (change.kind) {
      case 'storeEraChanged':
        this.#table.startEra();
        this.#writer.restore();
        this.#scheduleTrialRestore();
        break;
      case 'crashRecorded':
        this.#recordCrashTime(change.report.crashId);
        this.#table.addCrash(change.report, change.revision);
        break;
      case 'requestCleared':
        this.#table.clear(change.fingerprint, change.revision);
        this.#wakeWaiting();
        break;
      case 'requestTried':
        this.#table.setTrialCount(change.fingerprint, change.trialCount, change.revision);
        break;
      case 'trialsForgotten':
        this.#table.releaseTrials(change.fingerprint);
        this.#wakeWaiting();
        break;
      default:
        // The directory applies the other changes.
        break;
    }
  }

  /** The random delay lets one host write what all of them know. */
  #scheduleTrialRestore(): void {
    const { schedule = scheduleTimer, random } = this.#options;
    schedule(random.getFraction() * MAX_RESTORE_DELAY_MS, () => this.#restoreTrials());
  }

  /** Writes the trial counts again that a store which came back from an older copy has lost. */
  #restoreTrials(): void {
    if (this.#isClosed) {
      return;
    }
    const writes = this.#table.getLostTrials().map((trials) => this.#restoreTrial(trials));
    Promise.all(writes).catch((error: unknown) => {
      this.#options.logger.info(
        { event: 'trialsNotRestored', error: String(error) },
        'writing trial counts again failed; retrying',
      );
      this.#scheduleTrialRestore();
    });
  }

  async #restoreTrial({ fingerprint, trialCount, revision }: LostTrials): Promise<void> {
    const newRevision = await this.#options.store.writeTrials({
      fingerprint, trialCount, expectedRevision: revision, evictedFingerprint: null,
    });
    this.#log('trialsRestored', fingerprint, { trialCount, revision: newRevision });
    // Without a revision another host was first, whose record arrives as a change.
    if (newRevision !== null) {
      this.#table.setTrialCount(fingerprint, trialCount, newRevision);
    }
  }

  /** @returns whether a change arrived before the timeout */
  #waitForChange(waitMs: number): Promise<boolean> {
    const { schedule = scheduleTimer } = this.#options;
    return new Promise((resolve) => {
      const wake = (): void => {
        this.#waiting.delete(wake);
        resolve(true);
      };
      this.#waiting.add(wake);
      schedule(waitMs, () => {
        this.#waiting.delete(wake);
        resolve(false);
      });
    });
  }

  #wakeWaiting(): void {
    [...this.#waiting].forEach((wake) => wake());
  }

  #log(outcome: string, fingerprint: string, details: Readonly<Record<string, unknown>>): void {
    this.#options.logger.info({
      event: 'quarantine',
      outcome,
      fingerprint,
      crashCount: this.#table.getCrashCount(fingerprint),
      ...details,
    }, 'updated the quarantine state of a request that was running at crashed upstreams');
  }
}
