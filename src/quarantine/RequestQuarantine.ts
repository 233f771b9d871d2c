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
  CRASH_LIMIT, SuspectTable, type LostTrials, type SendDecision,
} from './SuspectTable.ts';
import type { Trial } from './Trial.ts';
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
    suspectIds.forEach((suspectId) => this.#returnTrial(suspectId));
  }

  #returnTrial(suspectId: SuspectId): void {
    const revision = this.#table.getTrialRevision(suspectId);
    const trialCount = this.#table.getTrialCount(suspectId) - 1;
    if (trialCount < 0) {
      return;
    }
    this.#options.store.writeTrials({
      suspectId, trialCount, expectedRevision: revision, evictedId: null,
    }).then((newRevision) => {
      this.#log('trialReturned', suspectId, { trialCount, revision: newRevision });
      if (newRevision !== null) {
        this.#table.setTrialCount(suspectId, trialCount, newRevision);
        this.#wakeWaiting();
      }
    }).catch((error: unknown) => {
      this.#log('trialReturnedAlone', suspectId, { trialCount, error: String(error) });
      this.#table.adjustTrialCount(suspectId, -1);
      this.#wakeWaiting();
    });
  }

  /** Stops background writes and wakes all waiting requests. */
  close(): void {
    this.#isClosed = true;
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

  /** @returns the trial of all of them; null when another host was first for one */
  async #takeTrials(
    trials: readonly DueTrial[],
    requestId: string,
  ): Promise<QuarantineDecision | null> {
    const taken: SuspectId[] = [];
    for (let index = 0; index < trials.length; index += 1) {
      const due = trials[index];
      // eslint-disable-next-line no-await-in-loop -- a trial that another host has ends the series
      if (due !== undefined && !await this.#takeTrial(due, requestId)) {
        this.returnTrial({ suspectIds: taken });
        return null;
      }
      taken.push(...due === undefined ? [] : [due.id]);
    }
    return { kind: 'trial', trial: { suspectIds: taken } };
  }

  async #takeTrial(due: DueTrial, requestId: string): Promise<boolean> {
    const { id } = due;
    const trialCount = due.trialCount + 1;
    try {
      const revision = await this.#options.store.writeTrials({
        suspectId: id,
        trialCount,
        expectedRevision: due.revision,
        evictedId: this.#table.getOldestTrial(),
      });
      this.#log('trialTaken', id, { requestId, trialCount, revision });
      if (revision === null) {
        this.#table.recordRemoteTrial(id);
        return false;
      }
      this.#table.setTrialCount(id, trialCount, revision);
      return true;
    } catch (error) {
      // A host without access to the store relies on its own trial count.
      this.#log('trialAlone', id, { requestId, trialCount, error: String(error) });
      if (this.#table.getDecision(id).kind !== 'trialDue') {
        return false;
      }
      this.#table.adjustTrialCount(id, 1);
      return true;
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

  async #restoreTrial({ suspectId, trialCount, revision }: LostTrials): Promise<void> {
    const newRevision = await this.#options.store.writeTrials({
      suspectId, trialCount, expectedRevision: revision, evictedId: null,
    });
    this.#log('trialsRestored', suspectId, { trialCount, revision: newRevision });
    // Without a revision another host was first, whose record arrives as a change.
    if (newRevision !== null) {
      this.#table.setTrialCount(suspectId, trialCount, newRevision);
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
