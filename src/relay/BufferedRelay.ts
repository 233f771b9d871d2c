import type { KnownUpstream } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import { EXECUTION_SEMANTICS } from '../directory/ServingConfiguration.ts';
import type { CallerExchange } from '../ingress/CallerExchange.ts';
import { createErrorAnswer } from '../ingress/createErrorAnswer.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { RetryReservation } from '../retries/RetryWindow.ts';
import type { RolloutRequest } from '../rollouts/RolloutRequest.ts';
import type { OpenRelay, RelayContext, RelayParameters } from './RelayContext.ts';
import { RETRY_REASON, type RetryReason } from './RetryDecision.ts';
import { getHostSlotShare, getRetryAfterMs } from './getRetryAfterMs.ts';
import { BufferedAnswer } from './BufferedAnswer.ts';
import {
  dropIfSilent, getAttemptOutcome, recordRolloutEnd, type BufferedAttempt, type UpstreamAnswer,
} from './BufferedAttempt.ts';
import { isRefusalStatus } from './isRefusalStatus.ts';
import { PermitFinder } from './PermitFinder.ts';
import { RequestRetries } from './RequestRetries.ts';
import { sendAttempt, type AttemptResult } from './sendAttempt.ts';
import { TrialCheck } from './TrialCheck.ts';

/** Fraction of the target latency after which a hedged send goes to a second upstream. */
const HEDGE_FRACTION = 0.6;
/** Silence, in multiples of the target latency, after which an upstream is avoided. */
const MAX_SILENCE_FACTOR = 1.5;
/** Interval at which a pool without a usable upstream is checked again. */
const NO_UPSTREAM_RECHECK_MS = 50;
/** Default Retry-After of a refusal. */
const RETRY_AFTER_MS = 300;
/** Maximum sends per request that upstreams refused or that did not reach them. */
const MAX_REFUSED_SENDS = 6;

const STATUS = {
  multipleChoices: 300, error: 500, badGateway: 502, unavailable: 503, timeout: 504,
} as const;

/** Relays one request with a buffered answer: tries upstreams until one answers. */
export class BufferedRelay implements OpenRelay {
  readonly #context: RelayContext;

  readonly #parameters: RelayParameters;

  readonly #exchange: CallerExchange;

  readonly #openAttempts = new Set<BufferedAttempt>();

  readonly #triedIds = new Set<UpstreamId>();

  /** Upstreams that have refused the request and have been open ever since. */
  readonly #refusingIds = new Set<UpstreamId>();

  /** Upstreams that have refused the request, and may be asked again over a new connection. */
  readonly #askedAgainIds = new Set<UpstreamId>();

  readonly #timers = new Set<NodeJS.Timeout>();

  readonly #retries: RequestRetries;

  readonly #trialCheck: TrialCheck;

  readonly #permitFinder: PermitFinder;

  /** The rollout in the pool; null when none runs. */
  #rollout: RolloutRequest | null = null;

  /** Number of attempts that ran or may have run. */
  #runCount = 0;

  #refusedCount = 0;

  /** Whether the request waits for an upstream to open. */
  #isWaiting = false;

  #isOver = false;

  #lastFailure: UpstreamAnswer | null = null;

  /**
   * @param context - dependencies shared by all relays
   * @param parameters - the parameters of this relay
   * @param exchange - the request and the means to answer it
   */
  constructor(context: RelayContext, parameters: RelayParameters, exchange: CallerExchange) {
    this.#context = context;
    this.#parameters = parameters;
    this.#exchange = exchange;
    this.#trialCheck = new TrialCheck(context.quarantine, parameters.trial !== null);
    this.#permitFinder = new PermitFinder({
      context,
      parameters,
      log: (outcome, details) => this.#log(outcome, details),
      after: (delayMs, action) => this.#runAfter(delayMs, action),
    });
    this.#retries = new RequestRetries({
      clock: context.clock,
      shares: context.shares,
      requestId: exchange.request.profile.id,
      poolId: parameters.poolId,
      kind: 'whole',
    });
  }

  /** Starts relaying. */
  start(): void {
    this.#context.openRelays.add(this);
    this.#context.shares.recordRequest(this.#parameters.poolId);
    const { poolId, configurationVersion: version } = this.#parameters;
    this.#log('accepted', { poolId, version });
    this.#exchange.onDisconnect(() => this.#finish('caller-gone'));
    if (this.#exchange.isDisconnected) {
      this.#finish('caller-gone');
      return;
    }
    this.#runAfter(this.#getRemainingMs(), () => this.#timeOut());
    this.#send(null);
  }

  /** @inheritdoc */
  endForStop(): void {
    this.#fail(STATUS.unavailable, 'leaving');
  }

  /** @inheritdoc */
  get poolId(): PoolId {
    return this.#parameters.poolId;
  }

  /** @inheritdoc */
  getRunningIds(): readonly UpstreamId[] {
    return [...this.#openAttempts].map(({ upstreamId }) => upstreamId);
  }

  get #isRepeatable(): boolean {
    return this.#parameters.route.executionSemantics === EXECUTION_SEMANTICS.repeatable;
  }

  #getRemainingMs(): number {
    return this.#parameters.deadlineAtMs - this.#context.clock.getMonotonicMs();
  }

  /** @param retryPermit - the reserved retry; null for the first send */
  #send(retryPermit: RetryReservation | null): void {
    if (this.#isOver) {
      return;
    }
    const { upstreamTable } = this.#context;
    const candidates = this.#getCandidates();
    const open = candidates.filter(({ entry }) => this.#maySendTo(entry.id));
    if (open.length === 0 && candidates.length > 0) {
      this.#fail(STATUS.unavailable, 'upstreams-full');
      return;
    }
    const usable = this.#permitFinder.select(open);
    const untried = usable.filter(({ entry }) => !this.#triedIds.has(entry.id));
    const maxSilenceMs = this.#parameters.route.targetLatencyMs * MAX_SILENCE_FACTOR;
    const upstream = upstreamTable.choose(untried.length > 0 ? untried : usable, maxSilenceMs);
    if (upstream === null && open.length > 0) {
      this.#findPermit(open, retryPermit);
      return;
    }
    if (upstream === null) {
      this.#waitForUpstream(retryPermit);
      return;
    }
    this.#setWaiting(false);
    this.#sendOnceChecked(upstream.entry, (entry) => {
      if (this.#permitFinder.tryTake(entry)) {
        this.#sendTo(entry, retryPermit);
      } else {
        this.#send(retryPermit);
      }
    }, retryPermit);
  }

  /**
   * Whether the request may be sent to an upstream. Only its id ties a refusal to the request. A
   * late copy of it would also answer a second send over the same connection, which the upstream
   * may be running then.
   */
  #maySendTo(upstreamId: UpstreamId): boolean {
    return this.#isRepeatable || !this.#refusingIds.has(upstreamId);
  }

  /** Sends a trial only to an upstream that has just passed a health check. */
  #sendOnceChecked(
    entry: UpstreamEntry,
    send: (entry: UpstreamEntry) => void,
    retryPermit: RetryReservation | null,
  ): void {
    if (this.#trialCheck.isPassed(entry.id)) {
      send(entry);
      return;
    }
    this.#triedIds.add(entry.id);
    this.#trialCheck.check(
      entry,
      () => send(entry),
      () => this.#runAfter(NO_UPSTREAM_RECHECK_MS, () => this.#send(retryPermit)),
    );
  }

  /** Requests a permit when all open upstreams advertise limits and this host has no permit. */
  #findPermit(limited: readonly KnownUpstream[], retryPermit: RetryReservation | null): void {
    // An open attempt may still get an answer.
    if (this.#openAttempts.size > 0) {
      return;
    }
    this.#permitFinder.find(limited, {
      onGranted: (entry) => this.#sendOnceChecked(
        entry,
        () => this.#sendTo(entry, retryPermit),
        retryPermit,
      ),
      onUpstreamGone: () => this.#send(retryPermit),
      onDenied: (retryAfterMs) => this.#fail(STATUS.unavailable, 'limited', retryAfterMs),
    });
  }

  #sendTo(upstream: UpstreamEntry, retryPermit: RetryReservation | null): void {
    if (this.#isOver) {
      return;
    }
    const { upstreamTable } = this.#context;
    const { id, address } = upstream;
    // The quarantine may have begun while the request waited.
    if (!this.#context.quarantine.maySend(this.#parameters.subject, this.#parameters.trial)) {
      this.#failQuarantined();
      return;
    }
    if (this.#rollout?.mayUse(upstream) === false) {
      this.#send(retryPermit);
      return;
    }
    if (retryPermit?.trySend(id) === false) {
      this.#failWithoutRetry();
      return;
    }
    const url = `http://${address}`;
    const attempt: BufferedAttempt = {
      upstreamId: id,
      url,
      sentAtMs: this.#context.clock.getMonotonicMs(),
      running: null,
      head: null,
      answer: new BufferedAnswer(this.#context.answerMemory),
      rolloutAttempt: this.#rollout?.startAttempt(
        this.#context.directory.getUpstream(id) ?? { entry: upstream, coldUntilMs: 0 },
      ) ?? null,
    };
    this.#triedIds.add(id);
    this.#openAttempts.add(attempt);
    this.#runCount += 1;
    upstreamTable.recordSend(id);
    this.#context.reachability.recordSend(id);
    this.#log('sent', { ...this.#retries.recordSend(id) });
    const { connections } = this.#context;
    attempt.running = sendAttempt(
      this.#askedAgainIds.has(id) ? connections.openSingle(url) : connections.get(url),
      this.#context.protocol,
      this.#exchange.request,
      {
        upstreamId: id,
        remainingMs: this.#getRemainingMs(),
        account: this.#parameters.account,
        priority: this.#parameters.priority,
        inputs: [],
        lastEventId: null,
      },
      {
        mayStart: () => this.#context.directory.isUsable(id),
        checkUnmarkedEnd: () => this.#checkUnmarkedEnd(upstream),
        onHead: (head) => {
          attempt.head = head;
          attempt.rolloutAttempt?.recordData();
          this.#context.reachability.recordAnswer(id);
          this.#context.notices.handle(upstream, head.notice, {
            requestId: this.#exchange.request.profile.id,
            status: head.status,
            sentAtMs: attempt.sentAtMs,
          });
          upstreamTable.recordAnswer(id, head.load);
          this.#context.shares.recordAnswered(this.#parameters.poolId, id);
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
      this.#runAfter(this.#parameters.route.targetLatencyMs * HEDGE_FRACTION, () => this.#hedge());
    }
  }

  async #checkUnmarkedEnd(upstream: UpstreamEntry): Promise<boolean> {
    const process = await this.#context.unmarkedAnswerCheck.check(upstream);
    this.#log('unmarkedEndChecked', { upstreamId: upstream.id, process });
    return process === 'running' || process === 'unknown';
  }

  /**
   * Returns the usable upstreams. One that has just reopened after a back-off is limited to this
   * host's share of its slots for a while.
   */
  #getCandidates(): KnownUpstream[] {
    const { directory, rollouts, upstreamTable } = this.#context;
    const { poolId, route } = this.#parameters;
    if (this.#rollout?.isCurrent !== true) {
      this.#rollout = rollouts.open(poolId, route.name, this.#exchange.request.profile.id);
    }
    const usable = directory.getUsable(poolId);
    return (this.#rollout?.select(usable) ?? usable).filter(({ entry }) => (
      !directory.isReopening(entry.id)
      || upstreamTable.getOpenCount(entry.id)
        < getHostSlotShare(entry.slots, directory.largestHostCount)));
  }

  /** Waits if an upstream is likely to open in time; otherwise refuses the request at once. */
  #waitForUpstream(retryPermit: RetryReservation | null): void {
    const { directory, upstreamTable, clock } = this.#context;
    const { poolId, route } = this.#parameters;
    const opensInMs = directory.getTimeUntilUsableMs(poolId);
    const waitedMs = clock.getMonotonicMs() - this.#exchange.request.arrivedAtMs;
    const cannotWait = opensInMs === null
      ? waitedMs >= route.targetLatencyMs
      : opensInMs >= this.#getRemainingMs();
    if (cannotWait && this.#openAttempts.size > 0) {
      return;
    }
    if (cannotWait) {
      this.#log('poolClosed', {
        poolId, opensInMs, closedIds: directory.getClosedIds(poolId),
      });
      this.#fail(STATUS.unavailable, 'no-upstream-open', getRetryAfterMs({
        opensInMs: opensInMs ?? RETRY_AFTER_MS,
        waitingCount: upstreamTable.getWaitingCount(poolId),
        slots: directory.getListed(poolId).reduce((sum, { entry }) => sum + entry.slots, 0),
        hostCount: directory.largestHostCount,
        targetLatencyMs: route.targetLatencyMs,
      }));
      return;
    }
    this.#setWaiting(true);
    this.#refusingIds.forEach((id) => this.#askedAgainIds.add(id));
    this.#refusingIds.clear();
    this.#runAfter(NO_UPSTREAM_RECHECK_MS, () => this.#send(retryPermit));
  }

  #setWaiting(isWaiting: boolean): void {
    if (this.#isWaiting !== isWaiting) {
      this.#isWaiting = isWaiting;
      this.#context.upstreamTable.changeWaitingCount(this.#parameters.poolId, isWaiting ? 1 : -1);
      this.#log(isWaiting ? 'waitsForUpstream' : 'foundUpstream');
    }
  }

  /** Sends the request to a second upstream while the first one is silent. */
  #hedge(): void {
    const retryPermit = !this.#isOver && this.#openAttempts.size === 1
      ? this.#tryReserveRun(RETRY_REASON.silent)
      : null;
    if (retryPermit !== null) {
      this.#log('hedged');
      this.#send(retryPermit);
    }
  }

  #endAttempt(attempt: BufferedAttempt, upstream: UpstreamEntry, end: AttemptResult): void {
    const { quarantine } = this.#context;
    const { subject, trial } = this.#parameters;
    this.#openAttempts.delete(attempt);
    recordRolloutEnd(attempt, end);
    if (end.kind !== 'complete' || this.#isOver) {
      attempt.answer.release();
    }
    this.#context.upstreamTable.recordEnd(
      attempt.upstreamId,
      getAttemptOutcome(attempt, end, this.#isOver),
    );
    if (end.kind === 'broken' && !end.isAborted) {
      quarantine.recordBrokenExchange(subject, upstream, { sentAtMs: attempt.sentAtMs, trial });
    }
    if (this.#isOver) {
      return;
    }
    switch (end.kind) {
      case 'complete':
        this.#handleAnswer(attempt, end.isEndMarked);
        return;
      case 'notSent':
        this.#runCount -= 1;
        this.#context.reachability.recordUnreachable(attempt.upstreamId);
        this.#log('notSent', { upstreamId: attempt.upstreamId, detail: end.detail });
        this.#retryNotRun();
        return;
      case 'broken':
        this.#log('broken', {
          upstreamId: attempt.upstreamId,
          detail: end.detail,
          fingerprint: subject.requestId,
        });
        this.#retryRun(RETRY_REASON.broken);
        return;
      default:
        throw exhaustiveSwitchError(end);
    }
  }

  #handleAnswer(attempt: BufferedAttempt, isEndMarked: boolean): void {
    const { head } = attempt;
    if (head === null) {
      this.#retryRun(RETRY_REASON.broken);
      return;
    }
    if (head.isNotRun) {
      attempt.answer.release();
      this.#runCount -= 1;
      this.#refusingIds.add(attempt.upstreamId);
      this.#log('notRun', { upstreamId: attempt.upstreamId, status: head.status });
      this.#retryNotRun();
      return;
    }
    this.#context.quarantine.recordAnswered(this.#parameters.subject, {
      isSuccess: head.status < STATUS.multipleChoices, trial: this.#parameters.trial,
    });
    const body = attempt.answer.take();
    if (head.status >= STATUS.error && this.#isRepeatable) {
      this.#lastFailure = { head, body, isEndMarked };
      this.#log('failed', { upstreamId: attempt.upstreamId, status: head.status });
      this.#retryRun(RETRY_REASON.failed);
      return;
    }
    if (!this.#isRepeatable && isRefusalStatus(head.status)) {
      // The upstream does not say that the request has not run, as the status would to the caller.
      this.#fail(STATUS.badGateway, 'upstream-failed');
      return;
    }
    this.#answer({ head, body, isEndMarked });
  }

  /** Retries after an attempt that did not run. */
  #retryNotRun(): void {
    this.#refusedCount += 1;
    const retryPermit = this.#refusedCount <= MAX_REFUSED_SENDS
      ? this.#tryReserveRetry(RETRY_REASON.notRun)
      : null;
    if (retryPermit !== null) {
      this.#send(retryPermit);
    } else if (this.#openAttempts.size === 0) {
      this.#fail(STATUS.unavailable, 'upstreams-full');
    }
  }

  /** Retries after an attempt that ran or may have run. */
  #retryRun(reason: RetryReason): void {
    const retryPermit = this.#tryReserveRun(reason);
    if (retryPermit !== null) {
      this.#send(retryPermit);
    } else if (this.#openAttempts.size === 0) {
      this.#fail(STATUS.badGateway, 'upstream-failed');
    }
  }

  #tryReserveRun(reason: RetryReason): RetryReservation | null {
    const { route, subject } = this.#parameters;
    const mayRun = this.#isRepeatable
      && this.#runCount < route.maxAttempts
      && this.#context.quarantine.isFree(subject);
    return mayRun ? this.#tryReserveRetry(reason) : null;
  }

  #tryReserveRetry(reason: RetryReason): RetryReservation | null {
    return this.#getRemainingMs() < 0 ? null : this.#retries.tryReserve(reason);
  }

  #failQuarantined(): void {
    this.#log('quarantined', { fingerprint: this.#parameters.subject.requestId });
    if (this.#openAttempts.size === 0) {
      this.#fail(STATUS.unavailable, 'quarantined');
    }
  }

  /** Handles a reserved retry that was withdrawn while it waited, as the retry limit shrank. */
  #failWithoutRetry(): void {
    this.#log('repeatWithdrawn');
    if (this.#openAttempts.size === 0) {
      this.#fail(STATUS.unavailable, 'retries-exhausted');
    }
  }

  #answer({ head, body, isEndMarked }: UpstreamAnswer): void {
    const { status, passedHeaders } = head;
    const { clock, stopDeadline } = this.#context;
    stopDeadline.recordAnswered(
      this.#parameters.route.name,
      clock.getMonotonicMs() - this.#exchange.request.arrivedAtMs,
    );
    this.#exchange.answer({
      status, headers: passedHeaders, body, isEndMarked,
    });
    this.#finish('answered', { status: head.status, isEndMarked });
  }

  /** Ends the request at its deadline. */
  #timeOut(): void {
    this.#openAttempts.forEach((attempt) => dropIfSilent(attempt, this.#context, (error) => (
      this.#log('connectionsNotClosed', { error: String(error) }))));
    this.#fail(STATUS.timeout, 'timeout');
  }

  #fail(status: number, reason: string, unsentRetryAfterMs = RETRY_AFTER_MS): void {
    if (this.#isOver) {
      return;
    }
    if (this.#lastFailure !== null) {
      this.#answer(this.#lastFailure);
      return;
    }
    // Only a request that certainly has not run gets 503; one that may have run gets 502.
    const hasRun = this.#runCount > 0;
    const finalStatus = status === STATUS.unavailable && hasRun ? STATUS.badGateway : status;
    const retryAfterMs = hasRun ? null : unsentRetryAfterMs;
    this.#exchange.answer(createErrorAnswer(finalStatus, reason, retryAfterMs));
    this.#finish(reason, { status: finalStatus, retryAfterMs });
  }

  #finish(outcome: string, details: Readonly<Record<string, unknown>> = {}): void {
    if (this.#isOver) {
      return;
    }
    this.#setWaiting(false);
    this.#isOver = true;
    this.#context.openRelays.delete(this);
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.#retries.release();
    const { trial } = this.#parameters;
    if (trial !== null && this.#runCount === 0) {
      this.#context.quarantine.returnTrial(trial);
    }
    this.#openAttempts.forEach((attempt) => attempt.running?.abort(outcome));
    const elapsedMs = this.#context.clock.getMonotonicMs() - this.#exchange.request.arrivedAtMs;
    this.#context.metrics.recordEnd('whole', outcome, elapsedMs, this.#parameters.priority);
    this.#log(outcome, details);
  }

  #runAfter(delayMs: number, action: () => void): void {
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
      route: this.#parameters.route.name,
      runCount: this.#runCount,
      remainingMs: Math.round(this.#getRemainingMs()),
      ...details,
    }, 'progress of a buffered relay');
  }
}
