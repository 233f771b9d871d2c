import type { KnownUpstream } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import { EXECUTION_SEMANTICS } from '../directory/ServingConfiguration.ts';
import type { CallerExchange } from '../ingress/CallerExchange.ts';
import { createErrorAnswer } from '../ingress/createErrorAnswer.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { RepeatPermit } from '../retries/RepeatWindow.ts';
import type { RelayContext, RelayTerms } from './RelayContext.ts';
import { REPEAT_REASON, type RepeatReason } from './RepeatDecision.ts';
import { getHostShare, getReturnMs } from './getReturnMs.ts';
import { HeldAnswer } from './HeldAnswer.ts';
import { LeaveFinder } from './LeaveFinder.ts';
import { RequestRepeats } from './RequestRepeats.ts';
import { sendAttempt, type AttemptEnd, type RunningAttempt } from './sendAttempt.ts';
import { TrialCheck } from './TrialCheck.ts';
import type { AnswerHead } from './UpstreamProtocol.ts';

interface OpenAttempt {
  readonly upstreamId: UpstreamId;
  /** Base address of the upstream. */
  readonly url: string;
  readonly sentAtMs: number;
  running: RunningAttempt | null;
  head: AnswerHead | null;
  readonly answer: HeldAnswer;
}

/** Part of the objective after which a second upstream is asked as well. */
const HEDGE_PART = 0.6;
/** Multiple of the objective for which an upstream may be silent before it is passed over. */
const PATIENCE_PART = 1.5;
/** Pause before a pool without a usable upstream is looked at again. */
const NO_UPSTREAM_PAUSE_MS = 50;
/** When a caller is asked back after a refusal. */
const RETRY_AFTER_MS = 300;
/** Sends that upstreams refused or that did not reach them, for one request at most. */
const MAX_REFUSED_SENDS = 6;

const STATUS = {
  error: 500, badGateway: 502, unavailable: 503, timeout: 504,
} as const;

function getBookEnd(
  attempt: OpenAttempt,
  end: AttemptEnd,
  isOver: boolean,
): 'good' | 'failed' | 'broken' | 'dropped' {
  if (isOver) {
    return 'dropped';
  }
  // An address that another upstream has now would refuse everything, and look idle.
  if (end.kind !== 'complete' || attempt.head === null || attempt.head.isWrongUpstream) {
    return 'broken';
  }
  return attempt.head.status >= STATUS.error ? 'failed' : 'good';
}

/** Relays one request whose answer is whole: asks upstreams in turn until one answers. */
export class WholeRelay {
  readonly #context: RelayContext;

  readonly #terms: RelayTerms;

  readonly #exchange: CallerExchange;

  readonly #open = new Set<OpenAttempt>();

  readonly #tried = new Set<UpstreamId>();

  readonly #timers = new Set<NodeJS.Timeout>();

  readonly #repeats: RequestRepeats;

  readonly #trialCheck: TrialCheck;

  readonly #leaveFinder: LeaveFinder;

  /** Attempts that ran or may have run. */
  #runCount = 0;

  #refusedCount = 0;

  /** Whether it waits for an upstream to open. */
  #isWaiting = false;

  #isOver = false;

  #lastFailure: { head: AnswerHead; body: Buffer } | null = null;

  /**
   * @param context - what all relays share
   * @param terms - what was decided of the request
   * @param exchange - the request and the way to answer it
   */
  constructor(context: RelayContext, terms: RelayTerms, exchange: CallerExchange) {
    this.#context = context;
    this.#terms = terms;
    this.#exchange = exchange;
    this.#trialCheck = new TrialCheck(context.quarantine, terms.isTrial);
    this.#leaveFinder = new LeaveFinder({
      context,
      terms,
      log: (outcome, details) => this.#log(outcome, details),
      after: (delayMs, action) => this.#after(delayMs, action),
    });
    this.#repeats = new RequestRepeats({
      clock: context.clock,
      shares: context.shares,
      requestId: exchange.request.profile.id,
      poolId: terms.poolId,
      kind: 'whole',
    });
  }

  /** Starts relaying. */
  start(): void {
    this.#context.shares.noteOffered(this.#terms.poolId);
    this.#log('accepted', { poolId: this.#terms.poolId });
    this.#exchange.onDisconnect(() => this.#finish('caller-gone'));
    if (this.#exchange.isDisconnected) {
      this.#finish('caller-gone');
      return;
    }
    this.#after(this.#getRemainingMs(), () => this.#timeOut());
    this.#send(null);
  }

  get #isRepeatable(): boolean {
    return this.#terms.route.executionSemantics === EXECUTION_SEMANTICS.repeatable;
  }

  #getRemainingMs(): number {
    return this.#terms.deadlineAtMs - this.#context.clock.getMonotonicMs();
  }

  /** @param permit - leave to send it once more; null for the first time */
  #send(permit: RepeatPermit | null): void {
    if (this.#isOver) {
      return;
    }
    const { book } = this.#context;
    const open = this.#getCandidates();
    const usable = this.#leaveFinder.select(open);
    const untried = usable.filter(({ entry }) => !this.#tried.has(entry.id));
    const patienceMs = this.#terms.route.targetLatencyMs * PATIENCE_PART;
    const upstream = book.choose(untried.length > 0 ? untried : usable, patienceMs);
    if (upstream === null && open.length > 0) {
      this.#findLeave(open, permit);
      return;
    }
    if (upstream === null) {
      this.#waitForUpstream(permit);
      return;
    }
    this.#noteWaiting(false);
    this.#sendOnceChecked(upstream.entry, (entry) => {
      if (this.#leaveFinder.tryTake(entry)) {
        this.#sendTo(entry, permit);
      } else {
        this.#send(permit);
      }
    }, permit);
  }

  /** A request on trial goes to an upstream that has just shown that it lives. */
  #sendOnceChecked(
    entry: UpstreamEntry,
    send: (entry: UpstreamEntry) => void,
    permit: RepeatPermit | null,
  ): void {
    if (this.#trialCheck.isPassed(entry.id)) {
      send(entry);
      return;
    }
    this.#tried.add(entry.id);
    this.#trialCheck.ask(
      entry,
      () => send(entry),
      () => this.#after(NO_UPSTREAM_PAUSE_MS, () => this.#send(permit)),
    );
  }

  /** All open upstreams name limits, and there is no leave here for any of them. */
  #findLeave(limited: readonly KnownUpstream[], permit: RepeatPermit | null): void {
    // Another attempt may still be answered.
    if (this.#open.size > 0) {
      return;
    }
    this.#leaveFinder.find(limited, {
      onGranted: (entry) => this.#sendOnceChecked(
        entry,
        () => this.#sendTo(entry, permit),
        permit,
      ),
      onGone: () => this.#send(permit),
      onDenied: (retryAfterMs) => this.#giveUp(STATUS.unavailable, 'limited', retryAfterMs),
    });
  }

  #sendTo(upstream: UpstreamEntry, permit: RepeatPermit | null): void {
    if (this.#isOver) {
      return;
    }
    const { book } = this.#context;
    const { id, address } = upstream;
    if (permit?.trySend(id) === false) {
      this.#giveUpWithoutRepeat();
      return;
    }
    const url = `http://${address}`;
    const attempt: OpenAttempt = {
      upstreamId: id,
      url,
      sentAtMs: this.#context.clock.getMonotonicMs(),
      running: null,
      head: null,
      answer: new HeldAnswer(this.#context.answerMemory),
    };
    this.#tried.add(id);
    this.#open.add(attempt);
    this.#runCount += 1;
    book.noteSent(id);
    this.#log('sent', { ...this.#repeats.noteSend(id) });
    attempt.running = sendAttempt(
      this.#context.connections.get(url),
      this.#context.protocol,
      this.#exchange.request,
      {
        upstreamId: id,
        remainingMs: this.#getRemainingMs(),
        account: this.#terms.account,
        priority: this.#terms.priority,
        inputs: [],
        lastEventId: null,
      },
      {
        mayStart: () => this.#context.directory.isUsable(id),
        onHead: (head) => {
          attempt.head = head;
          this.#context.notices.handle(upstream, head.notice, {
            requestId: this.#exchange.request.profile.id,
            status: head.status,
            sentAtMs: attempt.sentAtMs,
          });
          book.noteAnswer(id, head.load);
          this.#context.shares.noteAnswered(this.#terms.poolId, id);
        },
        onData: (chunk) => {
          if (!attempt.answer.add(chunk)) {
            attempt.running?.abort('the answer is too large');
          }
        },
        onEnd: (end) => this.#endAttempt(attempt, upstream, end),
      },
    );
    if (this.#isRepeatable) {
      this.#after(this.#terms.route.targetLatencyMs * HEDGE_PART, () => this.#hedge());
    }
  }

  /** An upstream that ends its back-off gets this host's share of its slots for a while. */
  #getCandidates(): KnownUpstream[] {
    const { directory, book } = this.#context;
    return directory.getUsable(this.#terms.poolId).filter(({ entry }) => (
      !directory.isReopening(entry.id)
      || book.getOpenCount(entry.id) < getHostShare(entry.slots, directory.largestHostCount)));
  }

  /** Waits while an upstream is likely to come in time; otherwise the caller is told at once. */
  #waitForUpstream(permit: RepeatPermit | null): void {
    const { directory, book, clock } = this.#context;
    const { poolId, route } = this.#terms;
    const opensInMs = directory.getTimeUntilUsableMs(poolId);
    const waitedMs = clock.getMonotonicMs() - this.#exchange.request.arrivedAtMs;
    const isHopeless = opensInMs === null
      ? waitedMs >= route.targetLatencyMs
      : opensInMs >= this.#getRemainingMs();
    if (isHopeless && this.#open.size > 0) {
      return;
    }
    if (isHopeless) {
      this.#log('poolClosed', {
        poolId, opensInMs, closedIds: directory.getClosedIds(poolId),
      });
      this.#giveUp(STATUS.unavailable, 'no-upstream-open', getReturnMs({
        opensInMs: opensInMs ?? RETRY_AFTER_MS,
        waitingCount: book.getWaitingCount(poolId),
        slots: directory.getListed(poolId).reduce((sum, { entry }) => sum + entry.slots, 0),
        hostCount: directory.largestHostCount,
        targetLatencyMs: route.targetLatencyMs,
      }));
      return;
    }
    this.#noteWaiting(true);
    this.#after(NO_UPSTREAM_PAUSE_MS, () => this.#send(permit));
  }

  #noteWaiting(isWaiting: boolean): void {
    if (this.#isWaiting !== isWaiting) {
      this.#isWaiting = isWaiting;
      this.#context.book.noteWaiting(this.#terms.poolId, isWaiting ? 1 : -1);
      this.#log(isWaiting ? 'waitsForUpstream' : 'foundUpstream');
    }
  }

  /** Asks a second upstream while the first one is silent. */
  #hedge(): void {
    const permit = !this.#isOver && this.#open.size === 1
      ? this.#tryRunAgain(REPEAT_REASON.silent)
      : null;
    if (permit !== null) {
      this.#log('hedged');
      this.#send(permit);
    }
  }

  #endAttempt(attempt: OpenAttempt, upstream: UpstreamEntry, end: AttemptEnd): void {
    const { quarantine } = this.#context;
    const { subject, isTrial } = this.#terms;
    this.#open.delete(attempt);
    if (end.kind !== 'complete' || this.#isOver) {
      attempt.answer.release();
    }
    this.#context.book.noteEnded(attempt.upstreamId, getBookEnd(attempt, end, this.#isOver));
    if (end.kind === 'broken' && !end.isAborted) {
      quarantine.recordBrokenExchange(subject, upstream, { sentAtMs: attempt.sentAtMs, isTrial });
    }
    if (this.#isOver) {
      return;
    }
    switch (end.kind) {
      case 'complete':
        this.#takeAnswer(attempt);
        return;
      case 'notSent':
        this.#runCount -= 1;
        this.#log('notSent', { upstreamId: attempt.upstreamId, detail: end.detail });
        this.#sendElsewhere();
        return;
      case 'broken':
        this.#log('broken', {
          upstreamId: attempt.upstreamId,
          detail: end.detail,
          fingerprint: subject.fingerprint,
        });
        this.#runAgain(REPEAT_REASON.broken);
        return;
      default:
        throw exhaustiveSwitchError(end);
    }
  }

  #takeAnswer(attempt: OpenAttempt): void {
    const { head } = attempt;
    if (head === null) {
      this.#runAgain(REPEAT_REASON.broken);
      return;
    }
    if (head.isNotRun) {
      attempt.answer.release();
      this.#runCount -= 1;
      this.#log('notRun', { upstreamId: attempt.upstreamId, status: head.status });
      this.#sendElsewhere();
      return;
    }
    this.#context.quarantine.recordAnswered(this.#terms.subject);
    const body = attempt.answer.take();
    if (head.status >= STATUS.error && this.#isRepeatable) {
      this.#lastFailure = { head, body };
      this.#log('failed', { upstreamId: attempt.upstreamId, status: head.status });
      this.#runAgain(REPEAT_REASON.failed);
      return;
    }
    this.#answer(head, body);
  }

  /** Goes on after an attempt that did not run. */
  #sendElsewhere(): void {
    this.#refusedCount += 1;
    const permit = this.#refusedCount <= MAX_REFUSED_SENDS
      ? this.#tryRepeat(REPEAT_REASON.notRun)
      : null;
    if (permit !== null) {
      this.#send(permit);
    } else if (this.#open.size === 0) {
      this.#giveUp(STATUS.unavailable, 'upstreams-full');
    }
  }

  /** Goes on after an attempt that ran or may have run. */
  #runAgain(reason: RepeatReason): void {
    const permit = this.#tryRunAgain(reason);
    if (permit !== null) {
      this.#send(permit);
    } else if (this.#open.size === 0) {
      this.#giveUp(STATUS.badGateway, 'upstream-failed');
    }
  }

  #tryRunAgain(reason: RepeatReason): RepeatPermit | null {
    const { route, subject } = this.#terms;
    const mayRun = this.#isRepeatable
      && this.#runCount < route.maxAttempts
      && this.#context.quarantine.isFree(subject);
    return mayRun ? this.#tryRepeat(reason) : null;
  }

  #tryRepeat(reason: RepeatReason): RepeatPermit | null {
    return this.#getRemainingMs() < 0 ? null : this.#repeats.tryReserve(reason);
  }

  /** While a repeat waited for an upstream, what may be sent again has shrunk. */
  #giveUpWithoutRepeat(): void {
    this.#log('repeatWithdrawn');
    if (this.#open.size === 0) {
      this.#giveUp(STATUS.unavailable, 'repeats-spent');
    }
  }

  #answer(head: AnswerHead, body: Buffer): void {
    const { status, passedHeaders, isFramed } = head;
    this.#exchange.answer({
      status, headers: passedHeaders, body, isFramed,
    });
    this.#finish('answered', { status: head.status });
  }

  /** An upstream that is silent to the end may be cut off; new connections will show it. */
  #timeOut(): void {
    this.#open.forEach((attempt) => {
      if (attempt.head === null) {
        this.#context.book.noteSilent(attempt.upstreamId);
        this.#context.connections.remove(attempt.url).catch((error: unknown) => {
          this.#log('connectionsNotClosed', { error: String(error) });
        });
      }
    });
    this.#giveUp(STATUS.timeout, 'timeout');
  }

  #giveUp(status: number, reason: string, returnMs = RETRY_AFTER_MS): void {
    if (this.#isOver) {
      return;
    }
    if (this.#lastFailure !== null) {
      this.#answer(this.#lastFailure.head, this.#lastFailure.body);
      return;
    }
    // Only what certainly has not run is answered so; what may have run is a failed exchange.
    const hasRun = this.#runCount > 0;
    const finalStatus = status === STATUS.unavailable && hasRun ? STATUS.badGateway : status;
    const retryAfterMs = hasRun ? null : returnMs;
    this.#exchange.answer(createErrorAnswer(finalStatus, reason, retryAfterMs));
    this.#finish(reason, { status: finalStatus, retryAfterMs });
  }

  #finish(outcome: string, details: Readonly<Record<string, unknown>> = {}): void {
    if (this.#isOver) {
      return;
    }
    this.#noteWaiting(false);
    this.#isOver = true;
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.#repeats.release();
    if (this.#terms.isTrial && this.#runCount === 0) {
      this.#context.quarantine.returnTrial(this.#terms.subject);
    }
    this.#open.forEach((attempt) => attempt.running?.abort(outcome));
    const elapsedMs = this.#context.clock.getMonotonicMs() - this.#exchange.request.arrivedAtMs;
    this.#context.metrics.noteEnd('whole', outcome, elapsedMs);
    this.#log(outcome, details);
  }

  #after(delayMs: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      action();
    }, Math.max(0, delayMs));
    this.#timers.add(timer);
  }

  #log(outcome: string, details: Readonly<Record<string, unknown>> = {}): void {
    this.#context.logger.info({
      event: 'relay',
      outcome,
      requestId: this.#exchange.request.profile.id,
      route: this.#terms.route.name,
      runCount: this.#runCount,
      remainingMs: Math.round(this.#getRemainingMs()),
      ...details,
    }, 'relayed a request');
  }
}
