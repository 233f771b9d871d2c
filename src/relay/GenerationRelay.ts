import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { CallerExchange } from '../ingress/CallerExchange.ts';
import { createErrorAnswer } from '../ingress/createErrorAnswer.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { FinalPlacementResult, RunningPlacement } from '../placement/PlacementSearch.ts';
import type { PlacementReport } from '../placement/PlacementRequest.ts';
import type { QuarantineDecision } from '../quarantine/RequestQuarantine.ts';
import type { EngineContact } from '../streams/EngineLifetimes.ts';
import type { RetryReservation } from '../retries/RetryWindow.ts';
import { checkUnmarkedEnd } from './checkUnmarkedEnd.ts';
import { createPlacementDemand } from './createPlacementDemand.ts';
import { EventSequence } from './EventSequence.ts';
import { EventSplitter, type StreamEvent } from './EventSplitter.ts';
import type { OpenRelay, RelayContext, RelayParameters } from './RelayContext.ts';
import { RETRY_REASON, type RetryReason } from './RetryDecision.ts';
import { BufferedAnswer } from './BufferedAnswer.ts';
import { isRefusalStatus } from './isRefusalStatus.ts';
import { RelayedStreamVersion } from './RelayedStreamVersion.ts';
import { RequestRetries } from './RequestRetries.ts';
import { SilenceMonitor } from './SilenceMonitor.ts';
import { TrialCheck } from './TrialCheck.ts';
import { sendAttempt, type AttemptResult, type RunningAttempt } from './sendAttempt.ts';
import type { AnswerHead } from './UpstreamProtocol.ts';

type Placed = Extract<FinalPlacementResult, { kind: 'placed' }>;
/** Reports to the placement coordinator on a request that its engine has not run. */
type NotRunReport = Extract<PlacementReport['kind'], 'notTaken' | 'unreachable' | 'ended'>;

/** Silence, in multiples of the target gap, after which a stream resumes on another engine. */
const SILENCE_FACTOR = 4;
/** The same before the first event, in multiples of the target latency. */
const FIRST_EVENT_FACTOR = 1.5;
/** Maximum sends per request that engines refused or that did not reach them. */
const MAX_REFUSED_SENDS = 6;
/** Validity of a permit from the placement coordinator. */
const PERMIT_TTL_MS = 500;
/** Retry-After when the cause is expected to be brief. */
const SHORT_RETRY_AFTER_MS = 200;
/** Interval at which a pool is checked again whose versions the store does not have yet. */
const RECORD_RECHECK_MS = 20;
/** Time after its arrival for which a request waits for that record. */
const MAX_RECORD_WAIT_MS = 1_000;

const STATUS = {
  ok: 200, multipleChoices: 300, inputGone: 409, badGateway: 502, unavailable: 503, timeout: 504,
} as const;

/** Returns the report to the placement coordinator on a request that its engine refused. */
function getRefusalReport({ status, isWrongUpstream }: AnswerHead): NotRunReport {
  if (isWrongUpstream) {
    return 'unreachable';
  }
  // A request that lacks one of its inputs must start again from its first stage.
  return status === STATUS.inputGone ? 'ended' : 'notTaken';
}

/**
 * Relays one generation: requests its placement, sends it to the engine, forwards its events as
 * they arrive, and resumes a resumable stream on another engine when the exchange breaks.
 */
export class GenerationRelay implements OpenRelay {
  readonly #context: RelayContext;

  #parameters: RelayParameters;

  readonly #exchange: CallerExchange;

  readonly #excludedIds = new Set<UpstreamId>();

  readonly #arrivedAtMs: number;

  readonly #retries: RequestRetries;

  #trialCheck: TrialCheck;

  readonly #silenceMonitor = new SilenceMonitor((silenceMs) => {
    this.#checkSilentEngine(silenceMs).catch((error: unknown) => {
      this.#log('silenceCheckFailed', { error: String(error) });
    });
  });

  #placement: RunningPlacement | null = null;

  /** Time when the engine was chosen. */
  #placedAtMs = 0;

  /** Engine that the placement chose. */
  #engineId: UpstreamId | null = null;

  #running: RunningAttempt | null = null;

  /** Exchange of the running attempt, as evidence that its engine still runs. */
  #contact: EngineContact | null = null;

  /** Engine that was proven to run as its entry says, for the next send. */
  #provenId: UpstreamId | null = null;

  /** Time when the running attempt was sent. */
  #sentAtMs = 0;

  #splitter: EventSplitter;

  #head: AnswerHead | null = null;

  /** Error answer of the engine, which is not a stream. */
  readonly #errorAnswer: BufferedAnswer;

  readonly #events: EventSequence;

  readonly #version: RelayedStreamVersion;

  /** When the caller last received an event; the arrival of the request before the first one. */
  #lastEventAtMs: number;

  /** Number of attempts that ran or may have run. */
  #runCount = 0;

  #refusedCount = 0;

  /** Reserved retry for the next send; null until one is reserved. */
  #retryPermit: RetryReservation | null = null;

  #isOver = false;

  #deadlineTimer: NodeJS.Timeout | null = null;

  #pauseTimer: NodeJS.Timeout | null = null;

  /**
   * @param context - dependencies shared by all relays
   * @param parameters - the parameters of this relay
   * @param exchange - the request and the means to answer it
   */
  constructor(context: RelayContext, parameters: RelayParameters, exchange: CallerExchange) {
    this.#context = context;
    this.#parameters = parameters;
    this.#exchange = exchange;
    const { lastEventId, generation } = exchange.request.profile;
    this.#events = new EventSequence(lastEventId, generation?.maxOutputTokens ?? 0);
    this.#version = new RelayedStreamVersion({
      directory: context.directory,
      streamVersions: context.streamVersions,
      profile: exchange.request.profile,
      poolId: parameters.poolId,
      isResumable: parameters.route.isResumable,
    });
    this.#arrivedAtMs = exchange.request.arrivedAtMs;
    this.#lastEventAtMs = this.#arrivedAtMs;
    this.#errorAnswer = new BufferedAnswer(context.answerMemory);
    this.#splitter = new EventSplitter(context.answerMemory);
    this.#trialCheck = new TrialCheck(context.quarantine, parameters.trial !== null);
    this.#retries = new RequestRetries({
      clock: context.clock,
      shares: context.shares,
      requestId: exchange.request.profile.id,
      poolId: parameters.poolId,
      kind: 'generation',
    });
  }

  /** Starts relaying. */
  start(): void {
    this.#context.openRelays.add(this);
    this.#context.shares.recordRequest(this.#parameters.poolId);
    const { lastEventId, resumedRequestId } = this.#exchange.request.profile;
    this.#log('accepted', { poolId: this.#parameters.poolId, lastEventId, resumedRequestId });
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

  /** @inheritdoc */
  endForStop(): void {
    this.#fail(STATUS.unavailable, 'leaving', SHORT_RETRY_AFTER_MS);
  }

  #getRemainingMs(): number {
    return this.#parameters.deadlineAtMs - this.#context.clock.getMonotonicMs();
  }

  #place(): void {
    if (this.#isOver) {
      return;
    }
    const { directory } = this.#context;
    const { poolId } = this.#parameters;
    const opensInMs = directory.getTimeUntilUsableMs(poolId) ?? 0;
    if (opensInMs > 0) {
      this.#waitUntilOpen(opensInMs);
      return;
    }
    if (this.#version.isVersionGone(this.#excludedIds)) {
      this.#fail(STATUS.unavailable, 'version-gone', null);
      return;
    }
    if (this.#hasNoEngineLeft()) {
      this.#fail(STATUS.unavailable, 'engines-full', SHORT_RETRY_AFTER_MS);
      return;
    }
    if (this.#version.isAwaitingRecord) {
      this.#waitForRecord();
      return;
    }
    const placement = this.#context.placementClient.place(createPlacementDemand(this.#parameters, {
      profile: this.#exchange.request.profile,
      waitedMs: this.#context.clock.getMonotonicMs() - this.#arrivedAtMs,
      remainingMs: this.#getRemainingMs(),
      silentMs: this.#context.clock.getMonotonicMs() - this.#lastEventAtMs,
      // The placement coordinator does not know the notices that this host has received.
      excludedIds: [...new Set([
        ...this.#excludedIds,
        ...directory.getClosedIds(poolId),
        ...this.#version.getUnfitIds(),
      ])],
      softwareVersion: this.#version.required,
      isPlacedAgain: this.#placement !== null,
    }));
    this.#placement = placement;
    placement.result.then((result) => this.#handlePlacement(placement, result))
      .catch((error: unknown) => {
        this.#log('placement-failed', { error: String(error) });
        this.#fail(STATUS.unavailable, 'placement-failed', SHORT_RETRY_AFTER_MS);
      });
  }

  /** Whether the request has not run, and each engine has refused it or could not be reached. */
  #hasNoEngineLeft(): boolean {
    const usable = this.#context.directory.getUsable(this.#parameters.poolId);
    return this.#runCount === 0
      && usable.length > 0
      && usable.every(({ entry }) => this.#excludedIds.has(entry.id));
  }

  /** Waits until the store has recorded at which versions streams of the pool may begin. */
  #waitForRecord(): void {
    const waitedMs = this.#context.clock.getMonotonicMs() - this.#arrivedAtMs;
    if (waitedMs >= MAX_RECORD_WAIT_MS) {
      this.#fail(STATUS.unavailable, 'versions-not-recorded', SHORT_RETRY_AFTER_MS);
      return;
    }
    this.#pauseTimer = setTimeout(() => this.#place(), RECORD_RECHECK_MS);
  }

  /** Waits until the first engine opens, because all engines are closed to this host. */
  #waitUntilOpen(opensInMs: number): void {
    const { poolId } = this.#parameters;
    const closedIds = this.#context.directory.getClosedIds(poolId);
    if (opensInMs >= this.#getRemainingMs()) {
      this.#log('poolClosed', { poolId, opensInMs, closedIds });
      this.#fail(STATUS.unavailable, 'no-upstream-open', opensInMs);
      return;
    }
    this.#log('waitsForUpstream', { poolId, opensInMs, closedIds });
    this.#pauseTimer = setTimeout(() => this.#place(), opensInMs);
  }

  #handlePlacement(placement: RunningPlacement, result: FinalPlacementResult): void {
    if (result.kind === 'placed' && this.#isOver) {
      placement.report('ended', result.upstreamId);
      return;
    }
    if (result.kind === 'refused') {
      this.#fail(STATUS.unavailable, result.reason, result.retryAfterMs);
      return;
    }
    this.#engineId = result.upstreamId;
    this.#placedAtMs = this.#context.clock.getMonotonicMs();
    this.#sendWhenPermitted(result);
  }

  #sendWhenPermitted(placed: Placed): void {
    if (this.#isOver) {
      return;
    }
    const { coldStartLimiter, shares } = this.#context;
    const share = shares.getColdStartShare(this.#parameters.poolId);
    const waitMs = share === 0 ? 0 : coldStartLimiter.getWaitMs(placed.upstreamId, share);
    if (waitMs > 0) {
      this.#pauseTimer = setTimeout(() => this.#sendWhenPermitted(placed), waitMs);
      return;
    }
    const upstream = this.#context.directory.getUpstream(placed.upstreamId);
    // The engine or its failure domain may have started to drain while the request waited.
    if (
      upstream === undefined
      || !this.#context.directory.isUsable(placed.upstreamId)
      || !this.#version.mayUse(upstream.entry)
    ) {
      this.#placeAgainUnsent(placed.upstreamId);
      return;
    }
    if (!this.#context.quarantine.maySend(this.#parameters.subject, this.#parameters.trial)) {
      this.#holdPlaced();
      return;
    }
    if (this.#version.required !== null && this.#provenId !== placed.upstreamId) {
      this.#proveLifetime(placed, upstream.entry);
      return;
    }
    if (!this.#trialCheck.isPassed(placed.upstreamId)) {
      this.#trialCheck.check(
        upstream.entry,
        () => this.#sendWhenPermitted(placed),
        () => this.#placeAgainUnsent(placed.upstreamId),
      );
      return;
    }
    if (!this.#tryTakePermit(placed, upstream.entry)) {
      this.#log('permitExpired', { upstreamId: placed.upstreamId, leave: placed.leave });
      this.#placeAgainUnsent(placed.upstreamId);
      return;
    }
    coldStartLimiter.recordSend(placed.upstreamId);
    this.#send(placed, upstream.entry);
  }

  /** Lets a begun stream go on only at an engine that still runs as its entry says. */
  #proveLifetime(placed: Placed, engine: UpstreamEntry): void {
    this.#context.engineLifetimes.prove(engine).then((proof) => {
      this.#log('lifetimeChecked', { upstreamId: engine.id, proof });
      if (proof === 'exchange' || proof === 'store') {
        this.#provenId = engine.id;
        this.#sendWhenPermitted(placed);
      } else {
        this.#placeAgainUnsent(engine.id);
      }
    }).catch((error: unknown) => {
      this.#log('lifetimeCheckFailed', { error: String(error) });
      this.#fail(STATUS.unavailable, 'version-unknown', null);
    });
  }

  /** Gives its place back when the quarantine began to hold the request while it waited. */
  #holdPlaced(): void {
    const { clock, quarantine } = this.#context;
    const { subject, route } = this.#parameters;
    this.#log('quarantined', { fingerprint: subject.requestId, partIds: subject.partIds });
    this.#reportToCoordinator('notTaken');
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
        this.#trialCheck = new TrialCheck(this.#context.quarantine, true);
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

  /**
   * Takes the permit for the send. The placement coordinator provides one when an engine advertises
   * a limit, but this host may have learned of the limit since, or have used up its reserve.
   */
  #tryTakePermit({ leave }: Placed, engine: UpstreamEntry): boolean {
    const { rates, clock, metrics } = this.#context;
    if (leave === null && !rates.isLimited(engine)) {
      return true;
    }
    const isValid = clock.getMonotonicMs() - this.#placedAtMs <= PERMIT_TTL_MS;
    const isShared = leave === 'common' && isValid;
    const hasPermit = isShared || !rates.isLimited(engine) || rates.tryTakeReserve(engine);
    metrics.recordLimitedSend(
      'generation',
      isShared ? 'common' : (hasPermit && 'reserve') || 'none',
    );
    return hasPermit;
  }

  #send(placed: Placed, engine: UpstreamEntry): void {
    if (this.#retryPermit?.trySend(placed.upstreamId) === false) {
      this.#fail(STATUS.unavailable, 'retries-exhausted', SHORT_RETRY_AFTER_MS);
      return;
    }
    this.#retryPermit = null;
    this.#runCount += 1;
    this.#sentAtMs = this.#context.clock.getMonotonicMs();
    this.#head = null;
    this.#errorAnswer.release();
    this.#events.startAttempt();
    this.#splitter.release();
    this.#splitter = new EventSplitter(this.#context.answerMemory);
    this.#log('sent', {
      ...this.#retries.recordSend(placed.upstreamId),
      softwareVersion: engine.softwareVersion,
      lastEventId: this.#events.lastEventId,
      inputCount: placed.inputs.length,
      leave: placed.leave,
    });
    const { reachability, engineLifetimes } = this.#context;
    reachability.recordSend(engine.id);
    this.#provenId = null;
    this.#contact = engineLifetimes.openContact(engine.id);
    this.#running = sendAttempt(
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
        onHead: (head) => {
          this.#head = head;
          reachability.recordAnswer(engine.id);
          this.#context.notices.handle(engine, head.notice, {
            requestId: this.#exchange.request.profile.id,
            status: head.status,
            sentAtMs: this.#sentAtMs,
          });
          this.#context.shares.recordAnswered(this.#parameters.poolId, placed.upstreamId);
        },
        onData: (chunk) => this.#handleData(engine, chunk),
        onEnd: (end) => this.#endAttempt(engine, end),
      },
    );
    this.#watchSilence(this.#parameters.route.targetLatencyMs * FIRST_EVENT_FACTOR);
  }

  #handleData(engine: UpstreamEntry, chunk: Buffer): void {
    if (this.#isOver || this.#head === null) {
      return;
    }
    this.#context.reachability.recordAnswer(engine.id);
    this.#contact?.recordData();
    if (this.#head.status >= STATUS.multipleChoices) {
      if (!this.#errorAnswer.add(chunk)) {
        this.#running?.abort('the answer is too large');
      }
      return;
    }
    this.#watchSilence(this.#parameters.route.gapTargetMs * SILENCE_FACTOR);
    try {
      this.#splitter.add(chunk).every((event) => this.#forwardEvent(engine, event));
    } catch (error) {
      this.#running?.abort(String(error));
    }
  }

  /** @returns whether the stream continues */
  #forwardEvent(engine: UpstreamEntry, event: StreamEvent): boolean {
    const decision = this.#events.accept(event);
    if (decision.kind === 'abort') {
      this.#running?.abort(decision.detail);
    }
    if (decision.kind !== 'forward') {
      return decision.kind === 'skip';
    }
    if (!this.#exchange.hasAnswered && this.#head !== null) {
      this.#exchange.beginStream(this.#head.status, this.#head.passedHeaders);
      this.#version.recordEvent(engine);
      this.#reportToCoordinator('started');
    }
    this.#lastEventAtMs = this.#context.clock.getMonotonicMs();
    if (!this.#exchange.write(event.bytes)) {
      this.#running?.pause();
      this.#exchange.onWritable(() => this.#running?.resume());
    }
    return true;
  }

  async #checkUnmarkedEnd(engine: UpstreamEntry): Promise<boolean> {
    const { isWhole, result } = await checkUnmarkedEnd(this.#context.engineProbe, engine);
    this.#log('unmarkedEndChecked', {
      upstreamId: engine.id, startedAtMs: engine.startedAtMs, isWhole, result,
    });
    return isWhole;
  }

  #endAttempt(engine: UpstreamEntry, end: AttemptResult): void {
    const { id: upstreamId } = engine;
    if (end.kind === 'notSent') {
      this.#context.reachability.recordUnreachable(upstreamId);
    }
    this.#running = null;
    this.#contact?.close();
    this.#silenceMonitor.stop();
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
        this.#excludedIds.add(upstreamId);
        this.#placeAgainNotRun('unreachable', end.detail);
        return;
      case 'broken':
        this.#excludedIds.add(upstreamId);
        this.#reportToCoordinator('failed');
        this.#resume(end.detail);
        return;
      default:
        throw exhaustiveSwitchError(end);
    }
  }

  #handleComplete(engine: UpstreamEntry, isEndMarked: boolean): void {
    const head = this.#head;
    if (head !== null && head.isNotRun) {
      this.#runCount -= 1;
      // Only its id ties a refusal to the request. A late copy of it would also answer a second
      // send to the same engine, which may be running the request then.
      const mayRunTwice = this.#parameters.route.isResumable;
      if (!mayRunTwice || head.status === STATUS.unavailable || head.isWrongUpstream) {
        this.#excludedIds.add(engine.id);
      }
      this.#placeAgainNotRun(getRefusalReport(head), `status ${head.status}`);
      return;
    }
    if (head === null || (head.status < STATUS.multipleChoices && this.#splitter.hasPartialEvent)) {
      const detail = 'the stream ended inside an event';
      this.#recordBroken(engine, detail);
      this.#reportToCoordinator('failed');
      this.#resume(detail);
      return;
    }
    this.#context.quarantine.recordAnswered(this.#parameters.subject, {
      isSuccess: head.status < STATUS.multipleChoices, trial: this.#parameters.trial,
    });
    this.#reportToCoordinator('ended');
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
      upstreamId: engine.id, lastEventId: this.#events.lastEventId, isEndMarked,
    });
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
  #placeAgainUnsent(upstreamId: UpstreamId): void {
    if (this.#isOver) {
      return;
    }
    this.#excludedIds.add(upstreamId);
    this.#refusedCount += 1;
    this.#log('placedAgain', { detail: 'engine-left', upstreamId });
    if (this.#refusedCount > MAX_REFUSED_SENDS) {
      this.#reportToCoordinator('ended');
      this.#fail(STATUS.unavailable, 'engines-left', SHORT_RETRY_AFTER_MS);
      return;
    }
    this.#reportToCoordinator('notTaken');
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
      this.#reportToCoordinator(report === 'unreachable' ? 'failed' : 'ended');
      this.#fail(STATUS.unavailable, 'engines-full', SHORT_RETRY_AFTER_MS);
      return;
    }
    this.#reportToCoordinator(report);
    this.#place();
  }

  /** Resumes the stream after an attempt that ran or may have run. */
  #resume(detail: string): void {
    const { route, subject } = this.#parameters;
    const mayRunAgain = route.isResumable
      && this.#version.mayGoOn
      && !this.#version.isVersionGone(this.#excludedIds)
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
    if (this.#getRemainingMs() >= 0) {
      this.#retryPermit ??= this.#retries.tryReserve(reason);
    }
    return this.#retryPermit !== null;
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
    this.#splitter.release();
    this.#silenceMonitor.stop();
    clearTimeout(this.#deadlineTimer ?? undefined);
    clearTimeout(this.#pauseTimer ?? undefined);
    this.#retries.release();
    const { trial } = this.#parameters;
    if (trial !== null && this.#runCount === 0) {
      this.#context.quarantine.returnTrial(trial);
    }
    this.#placement?.cancel();
    if (this.#running !== null) {
      this.#running.abort(outcome);
    }
    this.#reportToCoordinator('ended');
    const elapsedMs = this.#context.clock.getMonotonicMs() - this.#arrivedAtMs;
    this.#context.metrics.recordEnd('generation', outcome, elapsedMs);
    this.#log(outcome, details);
  }

  #reportToCoordinator(kind: PlacementReport['kind']): void {
    if (this.#engineId === null) {
      return;
    }
    this.#placement?.report(kind, this.#engineId);
    if (kind !== 'started') {
      this.#engineId = null;
    }
  }

  /** Starts to monitor the silence of the engine if the stream may resume on another one. */
  #watchSilence(silenceMs: number): void {
    this.#silenceMonitor.stop();
    if (this.#parameters.route.isResumable && this.#runCount < this.#parameters.route.maxAttempts) {
      this.#silenceMonitor.start(silenceMs);
    }
  }

  /**
   * Aborts the attempt on a silent engine unless the engine may be sound; without a retry left,
   * keeps waiting for it.
   */
  async #checkSilentEngine(silenceMs: number): Promise<void> {
    const running = this.#running;
    const engine = this.#engineId === null
      ? undefined
      : this.#context.directory.getUpstream(this.#engineId)?.entry;
    if (running === null || !this.#tryReserveRetry(RETRY_REASON.silent)) {
      return;
    }
    const { lastEventId } = this.#events;
    const decision = engine === undefined
      ? null
      : await this.#context.silentEngineCheck.decide(engine);
    if (this.#isOver || this.#running !== running) {
      return;
    }
    this.#log('silenceChecked', { silenceMs, upstreamId: engine?.id, ...decision });
    if (this.#events.lastEventId !== lastEventId) {
      this.#releaseRetry();
    } else if (decision === null || decision.mayMoveOn) {
      running.abort(`silent for ${Math.round(silenceMs)} ms`);
    } else {
      this.#releaseRetry();
      this.#silenceMonitor.start(silenceMs);
    }
  }

  #releaseRetry(): void {
    this.#retryPermit?.release();
    this.#retryPermit = null;
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
