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
import { CRASH_LIMIT, SuspectTable, type SendDecision } from './SuspectTable.ts';
import type { UpstreamCheck } from './UpstreamCheck.ts';

/** What a quarantine is made of. */
export interface RequestQuarantineOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  /** Brings what other hosts have written. */
  readonly directory: Directory;
  readonly store: QuarantineStore;
  readonly check: UpstreamCheck;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Runs an action later; replaced in tests. */
  readonly schedule?: Schedule;
  /** Hears of each crash that this host has seen. */
  readonly onCrash?: (poolId: PoolId) => void;
}

/** Whether a request may be sent, once that is known. */
export type QuarantineDecision =
  | { readonly kind: 'free' }
  /** It may run once; its end decides on all others like it. */
  | { readonly kind: 'trial' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** Crashes under a request at which its answer is told to the other hosts. */
const ANNOUNCED_CRASH_COUNT = CRASH_LIMIT - 1;
/** Crashes whose times are kept. */
const MAX_CRASH_TIMES = 1_000;

/**
 * Keeps requests from upstreams that would end under them. A request that was with three upstreams
 * when they crashed, and was not answered since, runs on trial: once, at one host of all. An answer
 * frees it, so that a request that merely was there goes on.
 */
export class RequestQuarantine {
  readonly #options: RequestQuarantineOptions;

  readonly #table: SuspectTable;

  readonly #crashMonitor: CrashMonitor;

  readonly #writer: QuarantineWriter;

  /** When this host heard of crashes, the newest of them. */
  readonly #crashedAtMs = new Map<string, number>();

  /** Wakes those that wait for a trial to end. */
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
   * @param subject - a request
   * @returns whether it may be sent as any other
   */
  isFree(subject: RequestSubject): boolean {
    return this.#table.isEmpty || this.#table.getDecision(subject.fingerprint).kind === 'free';
  }

  /**
   * Decides on a request that is not free; waits for a while when its trial is under way.
   *
   * @param subject - the request
   * @param requestId - names this attempt of its caller in the log
   * @param maxWaitMs - how long it may wait
   * @returns whether it may be sent
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
      // eslint-disable-next-line no-await-in-loop -- each news is looked at in turn
      const hasChanged = waitMs > 0 && await this.#waitForChange(waitMs);
      const decision = this.#table.getDecision(fingerprint);
      if (!hasChanged && decision.kind === 'held') {
        // Most trials are over in the time that requests like it take.
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
   * Notes that an upstream broke off its exchange for a request.
   *
   * @param subject - the request
   * @param entry - the upstream, as it was when it was sent to
   * @param send - when that was, and whether it was on trial
   */
  recordBrokenExchange(
    subject: RequestSubject,
    entry: UpstreamEntry,
    { sentAtMs, isTrial }: { readonly sentAtMs: number; readonly isTrial: boolean },
  ): void {
    const crashedAtMs = this.#crashedAtMs.get(getCrashId(entry)) ?? Infinity;
    if (sentAtMs > crashedAtMs) {
      // It had ended before, so that the trial shows nothing.
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
   * @param entry - an upstream that a trial would go to
   * @returns whether it has just said that it lives
   */
  async isAlive(entry: UpstreamEntry): Promise<boolean> {
    return await this.#crashMonitor.queryLiveness(entry) === 'alive';
  }

  #endTrial(subject: RequestSubject, isTrial: boolean, hasEndedUpstream: boolean): void {
    if (isTrial && !hasEndedUpstream) {
      this.returnTrial(subject);
    }
  }

  /** @param subject - a request that an upstream has run and answered */
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
   * Gives a trial back that came to no run, so that it does not count.
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

  /** Ends what runs in the background. */
  close(): void {
    this.#writer.close();
    this.#wakeWaiting();
  }

  /** @returns the decision; null while a trial may free the request */
  async #decide(fingerprint: string, requestId: string): Promise<QuarantineDecision | null> {
    const verdict = this.#table.getDecision(fingerprint);
    switch (verdict.kind) {
      case 'free':
        return verdict;
      case 'trialDue':
        return this.#takeTrial(fingerprint, requestId, verdict);
      case 'held':
        return verdict.isOnTrial ? null : { kind: 'refused', retryAfterMs: verdict.retryAfterMs };
      default:
        throw exhaustiveSwitchError(verdict);
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
      // A host that is cut off goes on by its own count.
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
      'an upstream has ended while it worked on requests',
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
        // The directory keeps what the others say.
        break;
    }
  }

  /** @returns whether there was news before the time was up */
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
    }, 'decided on a request that was with upstreams when they ended');
  }
}
