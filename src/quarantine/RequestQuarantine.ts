import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { DirectoryChange } from '../directory/DirectoryChange.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { HostId, PoolId } from '../lib/ids.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { Clock } from '../time/Clock.ts';
import { scheduleTimer, type Schedule } from '../time/scheduleTimer.ts';
import { CrashWatch, getCrashId } from './CrashWatch.ts';
import type { CrashReport, QuarantineStore } from './QuarantineStore.ts';
import { QuarantineWriter } from './QuarantineWriter.ts';
import type { RequestSubject } from './RequestSubject.ts';
import { CRASH_LIMIT, SuspectTable, type SendVerdict } from './SuspectTable.ts';
import type { UpstreamCheck } from './UpstreamCheck.ts';

/** What a quarantine is made of. */
export interface RequestQuarantineParts {
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
export type Admission =
  | { readonly kind: 'free' }
  /** It may run once; its end decides on all others like it. */
  | { readonly kind: 'trial' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/** Crashes under a request at which its answer is told to the other hosts. */
const TELL_CRASHES = CRASH_LIMIT - 1;
/** Crashes whose times are kept. */
const MAX_CRASH_TIMES = 1_000;

/**
 * Keeps requests from upstreams that would end under them. A request that was with three upstreams
 * when they crashed, and was not answered since, runs on trial: once, at one host of all. An answer
 * frees it, so that a request that merely was there goes on.
 */
export class RequestQuarantine {
  readonly #parts: RequestQuarantineParts;

  readonly #table: SuspectTable;

  readonly #watch: CrashWatch;

  readonly #writer: QuarantineWriter;

  /** When this host heard of crashes, the newest of them. */
  readonly #crashedAtMs = new Map<string, number>();

  /** Wakes those that wait for a trial to end. */
  readonly #waiting = new Set<() => void>();

  /**
   * @param parts - see {@link RequestQuarantineParts}
   */
  constructor(parts: RequestQuarantineParts) {
    this.#parts = parts;
    this.#table = new SuspectTable(parts.clock);
    this.#writer = new QuarantineWriter(parts);
    this.#watch = new CrashWatch({
      ...parts,
      onCrash: (report, poolId) => this.#noteCrash(report, poolId),
    });
    parts.directory.onChange((change) => this.#applyChange(change));
  }

  /**
   * @param subject - a request
   * @returns whether it may be sent as any other
   */
  isFree(subject: RequestSubject): boolean {
    return this.#table.isEmpty || this.#table.getVerdict(subject.fingerprint).kind === 'free';
  }

  /**
   * Decides on a request that is not free; waits for a while when its trial is under way.
   *
   * @param subject - the request
   * @param requestId - names this attempt of its caller in the log
   * @param patienceMs - how long it may wait
   * @returns whether it may be sent
   */
  async admit(
    subject: RequestSubject,
    requestId: string,
    patienceMs: number,
  ): Promise<Admission> {
    const { clock } = this.#parts;
    const untilMs = clock.getMonotonicMs() + patienceMs;
    const { fingerprint } = subject;
    let admission = await this.#decide(fingerprint, requestId);
    while (admission === null) {
      const waitMs = untilMs - clock.getMonotonicMs();
      // eslint-disable-next-line no-await-in-loop -- each news is looked at in turn
      const isNews = waitMs > 0 && await this.#waitForNews(waitMs);
      const verdict = this.#table.getVerdict(fingerprint);
      if (!isNews && verdict.kind === 'held') {
        // Most trials are over in the time that requests like it take.
        admission = { kind: 'refused', retryAfterMs: Math.min(patienceMs, verdict.retryAfterMs) };
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
  noteBroken(
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
    this.#watch.noteBroken({
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
    return await this.#watch.ask(entry) === 'alive';
  }

  #endTrial(subject: RequestSubject, isTrial: boolean, hasEndedUpstream: boolean): void {
    if (isTrial && !hasEndedUpstream) {
      this.returnTrial(subject);
    }
  }

  /** @param subject - a request that an upstream has run and answered */
  noteAnswered(subject: RequestSubject): void {
    if (this.#table.isEmpty) {
      return;
    }
    const { fingerprint } = subject;
    const isTold = !this.isFree(subject)
      || this.#table.getCrashCount(fingerprint) >= TELL_CRASHES;
    this.#table.clear(fingerprint, 0);
    if (isTold) {
      this.#log('cleared', fingerprint, {});
      this.#writer.addCleared(fingerprint);
      this.#wake();
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
    this.#parts.store.writeTrials({
      fingerprint, trialCount, knownRevision: revision, replaces: null,
    }).then((newRevision) => {
      this.#log('trialReturned', fingerprint, { trialCount, revision: newRevision });
      if (newRevision !== null) {
        this.#table.setTrials(fingerprint, trialCount, newRevision);
        this.#wake();
      }
    }).catch((error: unknown) => {
      this.#log('trialReturnedAlone', fingerprint, { trialCount, error: String(error) });
      this.#table.changeTrials(fingerprint, -1);
      this.#wake();
    });
  }

  /** Ends what runs in the background. */
  close(): void {
    this.#writer.close();
    this.#wake();
  }

  /** @returns the decision; null while a trial may free the request */
  async #decide(fingerprint: string, requestId: string): Promise<Admission | null> {
    const verdict = this.#table.getVerdict(fingerprint);
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
    due: Extract<SendVerdict, { kind: 'trialDue' }>,
  ): Promise<Admission | null> {
    const trialCount = due.trialCount + 1;
    try {
      const revision = await this.#parts.store.writeTrials({
        fingerprint,
        trialCount,
        knownRevision: due.revision,
        replaces: this.#table.getOldestTrial(),
      });
      this.#log('trialTaken', fingerprint, { requestId, trialCount, revision });
      if (revision === null) {
        this.#table.noteTrialElsewhere(fingerprint);
        return null;
      }
      this.#table.setTrials(fingerprint, trialCount, revision);
      return { kind: 'trial' };
    } catch (error) {
      // A host that is cut off goes on by its own count.
      this.#log('trialAlone', fingerprint, { requestId, trialCount, error: String(error) });
      if (this.#table.getVerdict(fingerprint).kind !== 'trialDue') {
        return null;
      }
      this.#table.changeTrials(fingerprint, 1);
      return { kind: 'trial' };
    }
  }

  #noteCrash(report: CrashReport, poolId: PoolId): void {
    this.#parts.logger.warn(
      { event: 'upstreamCrashed', poolId, ...report },
      'an upstream has ended while it worked on requests',
    );
    this.#parts.onCrash?.(poolId);
    this.#noteCrashTime(report.crashId);
    this.#table.addCrash(report, Infinity);
    this.#writer.addCrash(report);
  }

  #noteCrashTime(crashId: string): void {
    const knownAtMs = this.#crashedAtMs.get(crashId) ?? this.#parts.clock.getMonotonicMs();
    this.#crashedAtMs.set(crashId, knownAtMs);
    const [oldest] = this.#crashedAtMs.keys();
    if (oldest !== undefined && this.#crashedAtMs.size > MAX_CRASH_TIMES) {
      this.#crashedAtMs.delete(oldest);
    }
  }

  #applyChange(change: DirectoryChange): void {
    switch (change.kind) {
      case 'crashRecorded':
        this.#noteCrashTime(change.report.crashId);
        this.#table.addCrash(change.report, change.revision);
        break;
      case 'requestCleared':
        this.#table.clear(change.fingerprint, change.revision);
        this.#wake();
        break;
      case 'requestTried':
        this.#table.setTrials(change.fingerprint, change.trialCount, change.revision);
        break;
      case 'trialsForgotten':
        this.#table.forgetTrials(change.fingerprint);
        this.#wake();
        break;
      default:
        // The directory keeps what the others say.
        break;
    }
  }

  /** @returns whether there was news before the time was up */
  #waitForNews(waitMs: number): Promise<boolean> {
    const { schedule = scheduleTimer } = this.#parts;
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

  #wake(): void {
    [...this.#waiting].forEach((wake) => wake());
  }

  #log(outcome: string, fingerprint: string, details: Readonly<Record<string, unknown>>): void {
    this.#parts.logger.info({
      event: 'quarantine',
      outcome,
      fingerprint,
      crashCount: this.#table.getCrashCount(fingerprint),
      ...details,
    }, 'decided on a request that was with upstreams when they ended');
  }
}
