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
import { combineDecisions, type DueTrial, type RequestDecision } from './combineDecisions.ts';
import { isPromptPart } from './isPromptPart.ts';
import type { RequestSubject } from './RequestSubject.ts';
import type { SuspectId } from './SuspectId.ts';
import {
  CRASH_LIMIT, SuspectTable, type SendDecision,
} from './SuspectTable.ts';
import type { Trial } from './Trial.ts';
import { TrialRecorder } from './TrialRecorder.ts';
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
  /** It may be sent once. */
  | { readonly kind: 'trial'; readonly trial: Trial }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** A suspect of a request that keeps it from being sent freely. */
interface HeldSuspect {
  readonly suspectId: SuspectId;
  readonly decision: SendDecision['kind'];
  readonly crashCount: number;
}

/** Crashes of a suspect from which on its answer is announced to the other hosts. */
const ANNOUNCED_CRASH_COUNT = CRASH_LIMIT - 1;
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

  readonly #trials: TrialRecorder;

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
    this.#trials = new TrialRecorder({
      ...options,
      table: this.#table,
      log: (outcome, suspectId, details) => this.#log(outcome, suspectId, details),
      onGivenBack: () => this.#wakeWaiting(),
    });
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
    return this.#table.isEmpty || this.#getDecision(subject).kind === 'free';
  }

  /**
   * Decides whether a request that was admitted before may still be sent.
   *
   * @param subject - the request
   * @param trial - the trial as which it was admitted; null for none
   * @returns whether nothing of it is held except for its own trial
   */
  maySend(subject: RequestSubject, trial: Trial | null): boolean {
    return this.#table.isEmpty || subject.suspectIds.every((suspectId) => (
      trial?.suspectIds.includes(suspectId) === true
      || this.#table.getDecision(suspectId).kind === 'free'));
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
    let admission = await this.#decide(subject, requestId);
    while (admission === null) {
      const waitMs = untilMs - clock.getMonotonicMs();
      // eslint-disable-next-line no-await-in-loop -- each change is evaluated in turn
      const hasChanged = waitMs > 0 && await this.#waitForChange(waitMs);
      const decision = this.#getDecision(subject);
      if (!hasChanged && decision.kind === 'held') {
        // Most trials end within the time that such requests usually take.
        admission = { kind: 'refused', retryAfterMs: Math.min(maxWaitMs, decision.retryAfterMs) };
      } else {
        // eslint-disable-next-line no-await-in-loop -- as above
        admission = await this.#decide(subject, requestId);
      }
    }
    this.#options.logger.info({
      event: 'quarantine', outcome: 'admitted', requestId, admission, held: this.#getHeld(subject),
    }, 'decided whether to send a request that may crash upstreams');
    return admission;
  }

  /**
   * Records that the exchange with an upstream broke during a request.
   *
   * @param subject - the request
   * @param entry - the upstream, as it was when the request was sent
   * @param send - when the request was sent, and the trial as which it was sent
   */
  recordBrokenExchange(
    subject: RequestSubject,
    entry: UpstreamEntry,
    { sentAtMs, trial }: { readonly sentAtMs: number; readonly trial: Trial | null },
  ): void {
    const crashedAtMs = this.#crashedAtMs.get(getCrashId(entry)) ?? Infinity;
    if (sentAtMs > crashedAtMs) {
      // The upstream had crashed before the send, so the trial shows nothing.
      this.#endTrial(trial, false);
      return;
    }
    this.#crashMonitor.recordBrokenExchange({
      entry,
      suspectIds: subject.suspectIds,
      sentAtMs,
      onDecided: (hasEnded) => this.#endTrial(trial, hasEnded),
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

  #endTrial(trial: Trial | null, hasEndedUpstream: boolean): void {
    if (trial !== null && !hasEndedUpstream) {
      this.returnTrial(trial);
    }
  }

  /**
   * Records that an upstream answered a request. Any answer of a run clears the request; the parts
   * of its prompt are cleared by a complete success only, since an upstream may fail before it
   * begins to answer on them.
   *
   * @param subject - the request
   * @param answer - whether it was a success, and the trial as which the request was sent
   */
  recordAnswered(
    subject: RequestSubject,
    { isSuccess, trial }: { readonly isSuccess: boolean; readonly trial: Trial | null },
  ): void {
    if (isSuccess) {
      subject.partIds.forEach((partId) => this.#clear(partId));
    }
    if (!this.#table.isEmpty) {
      this.#clear(subject.requestId);
    }
    if (!isSuccess && trial !== null) {
      this.returnTrial({ suspectIds: trial.suspectIds.filter(isPromptPart) });
    }
  }

  #clear(suspectId: SuspectId): void {
    const isAnnounced = this.#table.getDecision(suspectId).kind !== 'free'
      || this.#table.getUnrecordedCrashCount(suspectId) >= ANNOUNCED_CRASH_COUNT;
    this.#table.clear(suspectId, 0);
    if (isAnnounced) {
      this.#table.markRecorded(suspectId);
      this.#log('cleared', suspectId, {});
      this.#writer.addCleared(suspectId);
      this.#wakeWaiting();
    }
  }

  /**
   * Returns a trial whose request was not run, so that it does not count.
   *
   * @param trial - the trial
   */
  returnTrial({ suspectIds }: Trial): void {
    suspectIds.forEach((suspectId) => this.#trials.giveBack(suspectId));
  }

  /** Stops background writes and wakes all waiting requests. */
  close(): void {
    this.#trials.close();
    this.#writer.close();
    this.#wakeWaiting();
  }

  #getDecision(subject: RequestSubject): RequestDecision {
    const decisions = subject.suspectIds.map((suspectId) => (
      [suspectId, this.#table.getDecision(suspectId)] as const));
    return combineDecisions(decisions, this.#options.clock.getMonotonicMs());
  }

  #getHeld(subject: RequestSubject): readonly HeldSuspect[] {
    return subject.suspectIds
      .map((suspectId) => ({
        suspectId,
        decision: this.#table.getDecision(suspectId).kind,
        crashCount: this.#table.getCrashCount(suspectId),
      }))
      .filter(({ decision }) => decision !== 'free');
  }

  /** @returns the decision; null while a running trial may clear the request */
  async #decide(subject: RequestSubject, requestId: string): Promise<QuarantineDecision | null> {
    const decision = this.#getDecision(subject);
    switch (decision.kind) {
      case 'free':
        return decision;
      case 'trialDue':
        return this.#takeTrials(decision.trials, requestId);
      case 'held':
        return decision.isOnTrial ? null : { kind: 'refused', retryAfterMs: decision.retryAfterMs };
      default:
        throw exhaustiveSwitchError(decision);
    }
  }

  async #takeTrials(
    trials: readonly DueTrial[],
    requestId: string,
  ): Promise<QuarantineDecision | null> {
    const trial = await this.#trials.take(trials, requestId);
    return trial === null ? null : { kind: 'trial', trial };
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
        this.#trials.scheduleRestore();
        break;
      case 'crashRecorded':
        this.#recordCrashTime(change.report.crashId);
        this.#table.addCrash(change.report, change.revision);
        break;
      case 'suspectCleared':
        this.#table.clear(change.suspectId, change.revision);
        this.#wakeWaiting();
        break;
      case 'suspectTried':
        this.#table.setTrialCount(change.suspectId, change.trialCount, change.revision);
        break;
      case 'trialsForgotten':
        this.#table.releaseTrials(change.suspectId);
        this.#wakeWaiting();
        break;
      default:
        // The directory applies the other changes.
        break;
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

  #log(outcome: string, suspectId: SuspectId, details: Readonly<Record<string, unknown>>): void {
    this.#options.logger.info({
      event: 'quarantine',
      outcome,
      suspectId,
      crashCount: this.#table.getCrashCount(suspectId),
      ...details,
    }, 'updated the quarantine state of a request that was running at crashed upstreams');
  }
}
