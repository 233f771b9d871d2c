import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { CallerExchange } from '../ingress/CallerExchange.ts';
import { createErrorAnswer } from '../ingress/createErrorAnswer.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { QuarantineDecision } from '../quarantine/RequestQuarantine.ts';
import { BufferedAnswer } from './BufferedAnswer.ts';
import { checkUnmarkedEnd } from './checkUnmarkedEnd.ts';
import { EngineExchange } from './EngineExchange.ts';
import { EventForwarder } from './EventForwarder.ts';
import { GenerationPlacement, type Placed } from './GenerationPlacement.ts';
import { getRefusalReport, type NotRunReport } from './getRefusalReport.ts';
import { isRefusalStatus } from './isRefusalStatus.ts';
import { PlacedEngineCheck } from './PlacedEngineCheck.ts';
import type { OpenRelay, RelayContext, RelayParameters } from './RelayContext.ts';
import { RelayedStreamVersion } from './RelayedStreamVersion.ts';
import { RequestRetries } from './RequestRetries.ts';
import { ReservedRetry } from './ReservedRetry.ts';
import { RETRY_REASON, type RetryReason } from './RetryDecision.ts';
import { sendAttempt, type AttemptResult, type RunningAttempt } from './sendAttempt.ts';
import { StreamSilence } from './StreamSilence.ts';
import type { AnswerHead } from './UpstreamProtocol.ts';

/** Silence, in multiples of the target gap, after which a stream resumes on another engine. */
const SILENCE_FACTOR = 4;
/** The same before the first event, in multiples of the target latency. */
const FIRST_EVENT_FACTOR = 1.5;
/** Maximum sends per request that engines refused or that did not reach them. */
const MAX_REFUSED_SENDS = 6;
/** Retry-After when the cause is expected to be brief. */
const SHORT_RETRY_AFTER_MS = 200;

const STATUS = {
  multipleChoices: 300, badGateway: 502, unavailable: 503, timeout: 504,
} as const;

/**
 * Relays one generation: has it placed, sends it to the engine, forwards its events as they arrive,
 * and resumes a resumable stream on another engine when the exchange breaks.
 */
export class GenerationRelay implements OpenRelay {
  readonly #context: RelayContext;

  #parameters: RelayParameters;

  readonly #exchange: CallerExchange;

  readonly #arrivedAtMs: number;

  readonly #version: RelayedStreamVersion;

  readonly #placement: GenerationPlacement;

  readonly #engineCheck: PlacedEngineCheck;

  readonly #events: EventForwarder;

  readonly #retries: RequestRetries;

  readonly #retry: ReservedRetry;

  readonly #silence: StreamSilence;

  /** Error answer of the engine, which is not a stream. */
  readonly #errorAnswer: BufferedAnswer;

  #running: RunningAttempt | null = null;

  /** Exchange of the running attempt, as evidence on its engine. */
  #engineExchange: EngineExchange | null = null;

  /** Time when the running attempt was sent. */
  #sentAtMs = 0;

  /** Time from the last send to its first event; null before the first event. */
  #startMs: number | null = null;

  #head: AnswerHead | null = null;

  /** Number of attempts that ran or may have run. */
  #runCount = 0;

  #refusedCount = 0;

  #isOver = false;

  #deadlineTimer: NodeJS.Timeout | null = null;

  /**
   * @param context - dependencies shared by all relays
   * @param parameters - the parameters of this relay
   * @param exchange - the request and the means to answer it
   */
  constructor(context: RelayContext, parameters: RelayParameters, exchange: CallerExchange) {
    this.#context = context;
    this.#parameters = parameters;
    this.#exchange = exchange;
    this.#arrivedAtMs = exchange.request.arrivedAtMs;
    this.#errorAnswer = new BufferedAnswer(context.answerMemory);
    const log = (outcome: string, details?: Readonly<Record<string, unknown>>): void => (
      this.#log(outcome, details));
    const { profile } = exchange.request;
    const version = new RelayedStreamVersion({
      directory: context.directory,
      streamVersions: context.streamVersions,
      lifetimes: context.engineLifetimes,
      profile,
      poolId: parameters.poolId,
      route: parameters.route,
      rollouts: context.rollouts,
    });
    this.#version = version;
    this.#placement = new GenerationPlacement({
      context,
      parameters,
      request: exchange.request,
      version,
      listener: {
        onPlaced: (placed) => this.#engineCheck.start(placed),
        onRefused: (reason, retryAfterMs) => (
          this.#fail(STATUS.unavailable, reason, retryAfterMs)),
      },
      log,
    });
    this.#engineCheck = new PlacedEngineCheck({
      context,
      parameters,
      version,
      listener: {
        onPassed: (placed, engine) => this.#send(placed, engine),
        onEngineLost: (engineId) => {
          this.#placement.exclude(engineId);
          this.#placeAgainUnsent(engineId, 'engine-left');
        },
        onQuotaExpired: (engineId) => this.#placeAgainUnsent(engineId, 'quota-expired'),
        onQuarantined: () => this.#holdPlaced(),
        onVersionUnknown: () => this.#fail(STATUS.unavailable, 'version-unknown', null),
      },
      log,
    });
    this.#events = new EventForwarder({
      clock: context.clock,
      answerMemory: context.answerMemory,
      exchange,
      version,
      onStarted: () => {
        this.#startMs = context.clock.getMonotonicMs() - this.#sentAtMs;
        this.#placement.report('started');
      },
    });
    this.#retries = new RequestRetries({
      clock: context.clock,
      shares: context.shares,
      requestId: profile.id,
      poolId: parameters.poolId,
      kind: 'generation',
    });
    this.#retry = new ReservedRetry(this.#retries);
    this.#silence = new StreamSilence({
      context,
      retry: this.#retry,
      getRunning: () => this.#running,
      getEngineId: () => this.#placement.engineId,
      getLastEventId: () => this.#events.lastEventId,
      mayGoOn: () => this.#version.mayGoOn,
      tryReserveRetry: () => this.#tryReserveRetry(RETRY_REASON.silent),
      log,
    });
  }

  /** @inheritdoc */
  get poolId(): PoolId {
    return this.#parameters.poolId;
  }

  /** @inheritdoc */
  getRunningIds(): readonly UpstreamId[] {
    const { engineId } = this.#placement;
    return this.#running === null || engineId === null ? [] : [engineId];
  }

  /** Starts relaying. */
  start(): void {
    this.#context.openRelays.add(this);
    this.#context.shares.recordRequest(this.#parameters.poolId);
    const { lastEventId, resumedRequestId } = this.#exchange.request.profile;
    const { poolId, configurationVersion: version } = this.#parameters;
    this.#log('accepted', {
      poolId, version, lastEventId, resumedRequestId,
    });
    this.#exchange.onDisconnect(() => this.#finish('caller-gone'));
    if (this.#exchange.isDisconnected) {
      this.#finish('caller-gone');
      return;
    }
    this.#deadlineTimer = setTimeout(
      () => this.#fail(STATUS.timeout, 'timeout', null),
      Math.max(0, this.#getRemainingMs()),
    );
    if (this.#version.isResumption) {
      this.#placeResumption().catch((error: unknown) => {
        this.#log('versionNotFound', { error: String(error) });
        this.#fail(STATUS.unavailable, 'version-unknown', null);
      });
    } else {
      this.#place();
    }
  }

  /** @inheritdoc */
  endForStop(): void {
    this.#fail(STATUS.unavailable, 'leaving', SHORT_RETRY_AFTER_MS);
  }

  /** Places a stream that the caller has events of, at the software version that began it. */
  async #placeResumption(): Promise<void> {
    const version = await this.#version.find();
    if (this.#isOver) {
      return;
    }
    this.#log('versionFound', { version });
    this.#context.metrics.recordResumption(
      version.kind === 'known' ? version.source : version.kind,
    );
    if (version.kind === 'unknown') {
      // No later try of the same stream would find it either.
      this.#fail(STATUS.unavailable, 'version-unknown', null);
      return;
    }
    this.#place();
  }

  #getRemainingMs(): number {
    return this.#parameters.deadlineAtMs - this.#context.clock.getMonotonicMs();
  }

  #place(): void {
    this.#placement.place({
      mayHaveRun: this.#runCount > 0,
      lastEventAtMs: this.#events.lastEventAtMs,
    });
  }

  /** Gives its place back when the quarantine began to hold the request while it waited. */
  #holdPlaced(): void {
    const { clock, quarantine } = this.#context;
    const { subject, route } = this.#parameters;
    this.#log('quarantined', { fingerprint: subject.requestId, partIds: subject.partIds });
    this.#placement.report('notTaken');
    if (this.#runCount > 0) {
      this.#fail(STATUS.badGateway, 'quarantined', null);
      return;
    }
    const maxWaitMs = Math.min(this.#getRemainingMs(), route.targetLatencyMs);
    const askedAtMs = clock.getMonotonicMs();
    quarantine.admit(subject, this.#exchange.request.profile.id, maxWaitMs)
      .then((admission) => this.#handleAdmission(admission, clock.getMonotonicMs() - askedAtMs))
      .catch((error: unknown) => {
        this.#log('admissionFailed', { error: String(error) });
        this.#fail(STATUS.unavailable, 'quarantined', SHORT_RETRY_AFTER_MS);
      });
  }

  #handleAdmission(admission: QuarantineDecision, waitedMs: number): void {
    switch (admission.kind) {
      case 'trial':
        if (this.#isOver) {
          this.#context.quarantine.returnTrial(admission.trial);
          return;
        }
        this.#parameters = {
          ...this.#parameters,
          trial: admission.trial,
          route: { ...this.#parameters.route, maxAttempts: 1 },
        };
        this.#engineCheck.setTrial(admission.trial);
        this.#place();
        return;
      case 'free':
        this.#log('released', { waitedMs });
        this.#place();
        return;
      case 'refused':
        this.#fail(STATUS.unavailable, 'quarantined', admission.retryAfterMs);
        return;
      default:
        throw exhaustiveSwitchError(admission);
    }
  }

  #send(placed: Placed, engine: UpstreamEntry): void {
    if (!this.#retry.trySend(placed.upstreamId)) {
      this.#fail(STATUS.unavailable, 'retries-exhausted', SHORT_RETRY_AFTER_MS);
      return;
    }
    this.#runCount += 1;
    this.#sentAtMs = this.#context.clock.getMonotonicMs();
    this.#head = null;
    this.#errorAnswer.release();
    this.#events.startAttempt();
    this.#log('sent', {
      ...this.#retries.recordSend(placed.upstreamId),
      softwareVersion: engine.softwareVersion,
      lastEventId: this.#events.lastEventId,
      inputCount: placed.inputs.length,
      leave: placed.leave,
    });
    this.#engineExchange = new EngineExchange(this.#context, engine, this.#version.rollout);
    this.#running = this.#startAttempt(placed, engine);
    this.#watchSilence(this.#parameters.route.targetLatencyMs * FIRST_EVENT_FACTOR);
  }

  #startAttempt(placed: Placed, engine: UpstreamEntry): RunningAttempt {
    return sendAttempt(
      this.#context.connections.get(`http://${engine.address}`),
      this.#context.protocol,
      this.#exchange.request,
      {
        upstreamId: placed.upstreamId,
        remainingMs: this.#getRemainingMs(),
        account: this.#parameters.account,
        priority: this.#parameters.priority,
        inputs: placed.inputs,
        lastEventId: this.#events.lastEventId,
      },
      {
        mayStart: () => this.#context.directory.isUsable(placed.upstreamId),
        checkUnmarkedEnd: () => this.#checkUnmarkedEnd(engine),
        onHead: (head) => this.#handleHead(engine, head),
        onData: (chunk) => this.#handleData(engine, chunk),
        onEnd: (end) => this.#endAttempt(engine, end),
      },
    );
  }

  #handleHead(engine: UpstreamEntry, head: AnswerHead): void {
    this.#head = head;
    this.#placement.recordLoad(head.load);
    this.#engineExchange?.recordHead(head);
    this.#context.notices.handle(engine, head.notice, {
      requestId: this.#exchange.request.profile.id,
      status: head.status,
      sentAtMs: this.#sentAtMs,
    });
    this.#context.shares.recordAnswered(this.#parameters.poolId, engine.id);
  }

  #handleData(engine: UpstreamEntry, chunk: Buffer): void {
    const running = this.#running;
    if (this.#isOver || this.#head === null || running === null) {
      return;
    }
    this.#engineExchange?.recordData();
    if (this.#head.status >= STATUS.multipleChoices) {
      if (!this.#errorAnswer.add(chunk)) {
        running.abort('the answer is too large');
      }
      return;
    }
    this.#watchSilence(this.#parameters.route.gapTargetMs * SILENCE_FACTOR);
    this.#events.forward(running, engine, this.#head, chunk);
  }

  async #checkUnmarkedEnd(engine: UpstreamEntry): Promise<boolean> {
    const { isWhole, result } = await checkUnmarkedEnd(this.#context.engineProbe, engine);
    this.#log('unmarkedEndChecked', {
      upstreamId: engine.id, startedAtMs: engine.startedAtMs, isWhole, result,
    });
    return isWhole;
  }

  #endAttempt(engine: UpstreamEntry, end: AttemptResult): void {
    this.#running = null;
    this.#engineExchange?.end(end);
    this.#silence.stop();
    if (end.kind === 'broken' && !end.isAborted) {
      this.#recordBroken(engine, end.detail);
    }
    if (this.#isOver) {
      return;
    }
    switch (end.kind) {
      case 'complete':
        this.#handleComplete(engine, end.isEndMarked);
        return;
      case 'notSent':
        this.#runCount -= 1;
        this.#placement.exclude(engine.id);
        this.#placeAgainNotRun('unreachable', end.detail);
        return;
      case 'broken':
        this.#placement.exclude(engine.id);
        this.#placement.report('failed');
        this.#resumeOnceSettled(end.detail);
        return;
      default:
        throw exhaustiveSwitchError(end);
    }
  }

  #handleComplete(engine: UpstreamEntry, isEndMarked: boolean): void {
    const head = this.#head;
    if (head !== null && head.isNotRun) {
      this.#handleNotRun(engine.id, head);
      return;
    }
    if (head === null || (head.status < STATUS.multipleChoices && this.#events.hasPartialEvent)) {
      const detail = 'the stream ended inside an event';
      this.#recordBroken(engine, detail);
      this.#placement.report('failed');
      this.#resumeOnceSettled(detail);
      return;
    }
    this.#context.quarantine.recordAnswered(this.#parameters.subject, {
      isSuccess: head.status < STATUS.multipleChoices, trial: this.#parameters.trial,
    });
    this.#placement.report('ended');
    if (head.status >= STATUS.multipleChoices) {
      this.#handleErrorAnswer(head, isEndMarked);
      return;
    }
    if (!this.#exchange.hasAnswered) {
      this.#exchange.beginStream(head.status, head.passedHeaders);
    }
    this.#exchange.end();
    this.#recordAnswered();
    this.#finish('answered', {
      upstreamId: engine.id,
      lastEventId: this.#events.lastEventId,
      isEndMarked,
      startMs: this.#startMs === null ? null : Math.round(this.#startMs),
    });
  }

  #handleNotRun(engineId: UpstreamId, head: AnswerHead): void {
    this.#runCount -= 1;
    // Only its id ties a refusal to the request. A late copy of it would also answer a second
    // send to the same engine, which may be running the request then.
    const mayRunTwice = this.#parameters.route.isResumable;
    if (!mayRunTwice || head.status === STATUS.unavailable || head.isWrongUpstream) {
      this.#placement.exclude(engineId);
    }
    this.#placeAgainNotRun(getRefusalReport(head), `status ${head.status}`);
  }

  #recordAnswered(): void {
    const { clock, stopDeadline } = this.#context;
    stopDeadline.recordAnswered(
      this.#parameters.route.name,
      clock.getMonotonicMs() - this.#arrivedAtMs,
    );
  }

  #recordBroken(engine: UpstreamEntry, detail: string): void {
    const { subject, trial } = this.#parameters;
    this.#log('broken', {
      upstreamId: engine.id, detail, fingerprint: subject.requestId, partIds: subject.partIds,
    });
    this.#context.quarantine.recordBrokenExchange(subject, engine, {
      sentAtMs: this.#sentAtMs, trial,
    });
  }

  /** Forwards the engine's error answer unchanged, unless a stream has started. */
  #handleErrorAnswer(head: AnswerHead, isEndMarked: boolean): void {
    // The engine does not say that the request has not run, as such a status would to the caller.
    if (this.#exchange.hasAnswered || isRefusalStatus(head.status)) {
      this.#fail(STATUS.badGateway, 'engine-failed', null);
      return;
    }
    const body = this.#errorAnswer.take();
    const { status, passedHeaders } = head;
    this.#exchange.answer({
      status, headers: passedHeaders, body, isEndMarked,
    });
    this.#finish('engine-failed', { status, isEndMarked });
  }

  /** Requests another placement without using a retry, because nothing was sent. */
  #placeAgainUnsent(upstreamId: UpstreamId, detail: string): void {
    this.#refusedCount += 1;
    this.#log('placedAgain', { detail, upstreamId });
    if (this.#refusedCount > MAX_REFUSED_SENDS) {
      this.#placement.report('ended');
      this.#fail(STATUS.unavailable, 'engines-left', SHORT_RETRY_AFTER_MS);
      return;
    }
    this.#placement.report('notTaken');
    this.#place();
  }

  /**
   * Requests another placement after an attempt that did not run.
   *
   * @param report - the report to the placement coordinator
   * @param detail - the cause, for the log
   */
  #placeAgainNotRun(report: NotRunReport, detail: string): void {
    this.#refusedCount += 1;
    this.#log('placedAgain', { detail });
    if (this.#refusedCount > MAX_REFUSED_SENDS || !this.#tryReserveRetry(RETRY_REASON.notRun)) {
      this.#placement.report(report === 'unreachable' ? 'failed' : 'ended');
      this.#fail(STATUS.unavailable, 'engines-full', SHORT_RETRY_AFTER_MS);
      return;
    }
    this.#placement.report(report);
    this.#place();
  }

  /** Resumes the stream once it is known which process of the engine began it. */
  #resumeOnceSettled(detail: string): void {
    this.#version.settle().then(() => {
      if (!this.#isOver) {
        this.#resume(detail);
      }
    }).catch((error: unknown) => {
      this.#log('versionNotFound', { error: String(error) });
      this.#fail(STATUS.badGateway, 'engine-broke-off', null);
    });
  }

  /** Resumes the stream after an attempt that ran or may have run. */
  #resume(detail: string): void {
    const { route, subject } = this.#parameters;
    const mayRunAgain = route.isResumable
      && this.#version.mayGoOn
      && !this.#version.isVersionGone(this.#placement.excludedIds)
      && this.#runCount < route.maxAttempts
      && this.#context.quarantine.isFree(subject)
      && this.#tryReserveRetry(RETRY_REASON.broken);
    this.#log(mayRunAgain ? 'resumed' : 'brokenOff', {
      detail, lastEventId: this.#events.lastEventId, fingerprint: subject.requestId,
    });
    if (mayRunAgain) {
      this.#place();
    } else {
      this.#fail(STATUS.badGateway, 'engine-broke-off', null);
    }
  }

  #tryReserveRetry(reason: RetryReason): boolean {
    return this.#getRemainingMs() >= 0 ? this.#retry.tryReserve(reason) : this.#retry.isReserved;
  }

  #fail(status: number, reason: string, retryAfterMs: number | null): void {
    if (this.#isOver) {
      return;
    }
    if (this.#exchange.hasAnswered) {
      this.#exchange.abort();
      this.#finish(reason, { isBrokenOff: true });
      return;
    }
    const hasRun = this.#runCount > 0;
    const finalStatus = status === STATUS.unavailable && hasRun ? STATUS.badGateway : status;
    this.#exchange.answer(createErrorAnswer(finalStatus, reason, hasRun ? null : retryAfterMs));
    this.#finish(reason, { status: finalStatus, retryAfterMs });
  }

  #finish(outcome: string, details: Readonly<Record<string, unknown>> = {}): void {
    if (this.#isOver) {
      return;
    }
    this.#isOver = true;
    this.#context.openRelays.delete(this);
    this.#errorAnswer.release();
    this.#events.release();
    this.#silence.stop();
    clearTimeout(this.#deadlineTimer ?? undefined);
    this.#engineCheck.close();
    this.#retries.release();
    const { trial } = this.#parameters;
    if (trial !== null && this.#runCount === 0) {
      this.#context.quarantine.returnTrial(trial);
    }
    this.#placement.close();
    this.#running?.abort(outcome);
    this.#placement.report('ended');
    const elapsedMs = this.#context.clock.getMonotonicMs() - this.#arrivedAtMs;
    const { priority } = this.#parameters;
    this.#context.metrics.recordEnd('generation', outcome, elapsedMs, priority);
    this.#log(outcome, details);
  }

  /** Starts to monitor the silence of the engine if the stream may resume on another one. */
  #watchSilence(silenceMs: number): void {
    this.#silence.stop();
    if (this.#parameters.route.isResumable && this.#runCount < this.#parameters.route.maxAttempts) {
      this.#silence.start(silenceMs);
    }
  }

  #log(outcome: string, details: Readonly<Record<string, unknown>> = {}): void {
    this.#context.logger.info({
      event: 'relay',
      outcome,
      requestId: this.#exchange.request.profile.id,
      route: this.#parameters.route.name,
      runCount: this.#runCount,
      elapsedMs: Math.round(this.#context.clock.getMonotonicMs() - this.#arrivedAtMs),
      ...details,
    }, 'progress of a generation relay');
  }
}
