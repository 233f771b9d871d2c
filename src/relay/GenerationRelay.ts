import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { CallerExchange } from '../ingress/CallerExchange.ts';
import { createErrorAnswer } from '../ingress/createErrorAnswer.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { FinalPlacementResult, RunningPlacement } from '../placement/PlacementCourse.ts';
import type { PlacementNote } from '../placement/PlacementRequest.ts';
import type { RepeatPermit } from '../retries/RepeatWindow.ts';
import { createPlacementDemand } from './createPlacementDemand.ts';
import { EventSplitter, type StreamEvent } from './EventSplitter.ts';
import type { RelayContext, RelayTerms } from './RelayContext.ts';
import { REPEAT_REASON, type RepeatReason } from './RepeatDecision.ts';
import { HeldAnswer } from './HeldAnswer.ts';
import { RequestRepeats } from './RequestRepeats.ts';
import { SilenceWatch } from './SilenceWatch.ts';
import { TrialCheck } from './TrialCheck.ts';
import { sendAttempt, type AttemptEnd, type RunningAttempt } from './sendAttempt.ts';
import type { AnswerHead } from './UpstreamProtocol.ts';

type Placed = Extract<FinalPlacementResult, { kind: 'placed' }>;
/** How a request is spoken of that its engine has not run. */
type NotRunNote = Extract<PlacementNote['kind'], 'notTaken' | 'unreachable' | 'ended'>;

/** Silence, in multiples of the longest pause, after which a stream goes on elsewhere. */
const SILENCE_FACTOR = 4;
/** Silence before the first event, in multiples of the objective, after which it goes elsewhere. */
const FIRST_EVENT_FACTOR = 1.5;
/** Sends that engines refused or that did not reach them, for one request at most. */
const MAX_REFUSED_SENDS = 6;
/** Events beside those of the tokens, such as the one that ends a stream. */
const SPARE_EVENTS = 64;
/** How long the leave of the placing host may be used. */
const LEAVE_TTL_MS = 500;
/** Retry-After where the cause is over in a moment. */
const SHORT_RETRY_AFTER_MS = 200;

const STATUS = {
  ok: 200, multipleChoices: 300, inputGone: 409, badGateway: 502, unavailable: 503, timeout: 504,
} as const;

/** What the placing host is told of a request that its engine refused. */
function getRefusalNote({ status, isWrongUpstream }: AnswerHead): NotRunNote {
  if (isWrongUpstream) {
    return 'unreachable';
  }
  // Without one of its inputs the request has to be made from its first stage on.
  return status === STATUS.inputGone ? 'ended' : 'notTaken';
}

/**
 * Relays one generation: has it placed, sends it to the engine, passes its events on as they come,
 * and lets a resumable stream go on at another engine when its own breaks off.
 */
export class GenerationRelay {
  readonly #context: RelayContext;

  readonly #terms: RelayTerms;

  readonly #exchange: CallerExchange;

  readonly #excluded = new Set<UpstreamId>();

  readonly #arrivedAtMs: number;

  readonly #repeats: RequestRepeats;

  readonly #trialCheck: TrialCheck;

  readonly #silence = new SilenceWatch((silenceMs) => this.#leaveSilent(silenceMs));

  #placement: RunningPlacement | null = null;

  /** When the engine was chosen. */
  #placedAtMs = 0;

  /** The engine that the placement chose. */
  #engineId: UpstreamId | null = null;

  #running: RunningAttempt | null = null;

  /** When the attempt that runs was sent. */
  #sentAtMs = 0;

  #splitter = new EventSplitter();

  #head: AnswerHead | null = null;

  /** An answer of the engine that is no stream. */
  readonly #errorAnswer: HeldAnswer;

  #eventCount = 0;

  #lastEventId: number | null;

  /** Attempts that ran or may have run. */
  #runCount = 0;

  #refusedCount = 0;

  /** Leave for the next send, where that is a repeat; null before it is asked for. */
  #permit: RepeatPermit | null = null;

  #isOver = false;

  #deadlineTimer: NodeJS.Timeout | null = null;

  #pauseTimer: NodeJS.Timeout | null = null;

  /**
   * @param context - what all relays share
   * @param terms - what was decided of the request
   * @param exchange - the request and the way to answer it
   */
  constructor(context: RelayContext, terms: RelayTerms, exchange: CallerExchange) {
    this.#context = context;
    this.#terms = terms;
    this.#exchange = exchange;
    this.#lastEventId = exchange.request.profile.lastEventId;
    this.#arrivedAtMs = exchange.request.arrivedAtMs;
    this.#errorAnswer = new HeldAnswer(context.answerMemory);
    this.#trialCheck = new TrialCheck(context.quarantine, terms.isTrial);
    this.#repeats = new RequestRepeats({
      clock: context.clock,
      shares: context.shares,
      requestId: exchange.request.profile.id,
      poolId: terms.poolId,
      kind: 'generation',
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
    this.#deadlineTimer = setTimeout(
      () => this.#giveUp(STATUS.timeout, 'timeout', null),
      Math.max(0, this.#getRemainingMs()),
    );
    this.#place();
  }

  #getRemainingMs(): number {
    return this.#terms.deadlineAtMs - this.#context.clock.getMonotonicMs();
  }

  #place(): void {
    if (this.#isOver) {
      return;
    }
    const { directory } = this.#context;
    const { poolId } = this.#terms;
    const opensInMs = directory.getTimeUntilUsableMs(poolId) ?? 0;
    if (opensInMs > 0) {
      this.#waitUntilOpen(opensInMs);
      return;
    }
    const placement = this.#context.placements.place(createPlacementDemand(this.#terms, {
      profile: this.#exchange.request.profile,
      waitedMs: this.#context.clock.getMonotonicMs() - this.#arrivedAtMs,
      remainingMs: this.#getRemainingMs(),
      // The placing host does not know what upstreams have told this one.
      excludedIds: [...new Set([...this.#excluded, ...directory.getClosedIds(poolId)])],
      isPlacedAgain: this.#placement !== null,
    }));
    this.#placement = placement;
    placement.result.then((result) => this.#takePlacement(placement, result))
      .catch((error: unknown) => {
        this.#log('placement-failed', { error: String(error) });
        this.#giveUp(STATUS.unavailable, 'placement-failed', SHORT_RETRY_AFTER_MS);
      });
  }

  /** All engines want nothing from this host for a while. */
  #waitUntilOpen(opensInMs: number): void {
    const { poolId } = this.#terms;
    const closedIds = this.#context.directory.getClosedIds(poolId);
    if (opensInMs >= this.#getRemainingMs()) {
      this.#log('poolClosed', { poolId, opensInMs, closedIds });
      this.#giveUp(STATUS.unavailable, 'no-upstream-open', opensInMs);
      return;
    }
    this.#log('waitsForUpstream', { poolId, opensInMs, closedIds });
    this.#pauseTimer = setTimeout(() => this.#place(), opensInMs);
  }

  #takePlacement(placement: RunningPlacement, result: FinalPlacementResult): void {
    if (result.kind === 'placed' && this.#isOver) {
      placement.note('ended', result.upstreamId);
      return;
    }
    if (result.kind === 'refused') {
      this.#giveUp(STATUS.unavailable, result.reason, result.retryAfterMs);
      return;
    }
    this.#engineId = result.upstreamId;
    this.#placedAtMs = this.#context.clock.getMonotonicMs();
    this.#sendWhenPaced(result);
  }

  #sendWhenPaced(placed: Placed): void {
    if (this.#isOver) {
      return;
    }
    const { pacer, shares } = this.#context;
    const share = shares.getColdShare(this.#terms.poolId);
    const waitMs = share === 0 ? 0 : pacer.getWaitMs(placed.upstreamId, share);
    if (waitMs > 0) {
      this.#pauseTimer = setTimeout(() => this.#sendWhenPaced(placed), waitMs);
      return;
    }
    const upstream = this.#context.directory.getUpstream(placed.upstreamId);
    // The engine may have begun to leave, or its failure domain, while the request waited.
    if (upstream === undefined || !this.#context.directory.isUsable(placed.upstreamId)) {
      this.#placeUnsent(placed.upstreamId);
      return;
    }
    if (!this.#trialCheck.isPassed(placed.upstreamId)) {
      this.#trialCheck.ask(
        upstream.entry,
        () => this.#sendWhenPaced(placed),
        () => this.#placeUnsent(placed.upstreamId),
      );
      return;
    }
    if (!this.#hasLeave(placed, upstream.entry)) {
      this.#log('leaveGone', { upstreamId: placed.upstreamId, leave: placed.leave });
      this.#placeUnsent(placed.upstreamId);
      return;
    }
    pacer.noteSend(placed.upstreamId);
    this.#send(placed, upstream.entry);
  }

  /**
   * The placing host gives leave where an engine names a limit. This host may have been told of the
   * limit since, or its reserve be used up by another request.
   */
  #hasLeave({ leave }: Placed, engine: UpstreamEntry): boolean {
    const { rates, clock, metrics } = this.#context;
    if (leave === null && !rates.isLimited(engine)) {
      return true;
    }
    const isPrompt = clock.getMonotonicMs() - this.#placedAtMs <= LEAVE_TTL_MS;
    const isCommon = leave === 'common' && isPrompt;
    const hasLeave = isCommon || !rates.isLimited(engine) || rates.tryTakeReserve(engine);
    metrics.noteLimited('generation', isCommon ? 'common' : (hasLeave && 'reserve') || 'none');
    return hasLeave;
  }

  #send(placed: Placed, engine: UpstreamEntry): void {
    if (this.#permit?.trySend(placed.upstreamId) === false) {
      this.#giveUp(STATUS.unavailable, 'repeats-spent', SHORT_RETRY_AFTER_MS);
      return;
    }
    this.#permit = null;
    this.#runCount += 1;
    this.#sentAtMs = this.#context.clock.getMonotonicMs();
    this.#head = null;
    this.#errorAnswer.release();
    this.#eventCount = 0;
    this.#splitter = new EventSplitter();
    this.#log('sent', {
      ...this.#repeats.noteSend(placed.upstreamId),
      inputCount: placed.inputs.length,
      leave: placed.leave,
    });
    this.#running = sendAttempt(
      this.#context.connections.get(`http://${engine.address}`),
      this.#context.protocol,
      this.#exchange.request,
      {
        upstreamId: placed.upstreamId,
        remainingMs: this.#getRemainingMs(),
        account: this.#terms.account,
        priority: this.#terms.priority,
        inputs: placed.inputs,
        lastEventId: this.#lastEventId,
      },
      {
        mayStart: () => this.#context.directory.isUsable(placed.upstreamId),
        onHead: (head) => {
          this.#head = head;
          this.#context.notices.handle(engine, head.notice, {
            requestId: this.#exchange.request.profile.id,
            status: head.status,
            sentAtMs: this.#sentAtMs,
          });
          this.#context.shares.noteAnswered(this.#terms.poolId, placed.upstreamId);
        },
        onData: (chunk) => this.#takeData(chunk),
        onEnd: (end) => this.#endAttempt(engine, end),
      },
    );
    this.#watchSilence(this.#terms.route.targetLatencyMs * FIRST_EVENT_FACTOR);
  }

  #takeData(chunk: Buffer): void {
    if (this.#isOver || this.#head === null) {
      return;
    }
    if (this.#head.status >= STATUS.multipleChoices) {
      if (!this.#errorAnswer.add(chunk)) {
        this.#running?.abort('the answer is too large');
      }
      return;
    }
    this.#watchSilence(this.#terms.route.gapTargetMs * SILENCE_FACTOR);
    try {
      this.#splitter.add(chunk).every((event) => this.#passOn(event));
    } catch (error) {
      this.#running?.abort(String(error));
    }
  }

  /** @returns whether the stream goes on */
  #passOn(event: StreamEvent): boolean {
    const { id } = event;
    this.#eventCount += 1;
    if (this.#eventCount > this.#getMaxEventCount()) {
      this.#running?.abort(`more than ${this.#eventCount} events`);
      return false;
    }
    if (id !== null && this.#lastEventId !== null) {
      if (id <= this.#lastEventId) {
        return true;
      }
      if (id !== this.#lastEventId + 1) {
        this.#running?.abort(`event ${id} follows event ${this.#lastEventId}`);
        return false;
      }
    }
    if (!this.#exchange.hasAnswered && this.#head !== null) {
      const { status, passedHeaders, isFramed } = this.#head;
      this.#exchange.beginStream(status, passedHeaders, isFramed);
      this.#note('started');
    }
    this.#lastEventId = id ?? this.#lastEventId;
    if (!this.#exchange.write(event.bytes)) {
      this.#running?.pause();
      this.#exchange.onWritable(() => this.#running?.resume());
    }
    return true;
  }

  /** An event holds a token at least. */
  #getMaxEventCount(): number {
    const { generation } = this.#exchange.request.profile;
    const { maxOutputTokens = 0 } = generation ?? {};
    return maxOutputTokens === 0 ? Infinity : maxOutputTokens + SPARE_EVENTS;
  }

  #endAttempt(engine: UpstreamEntry, end: AttemptEnd): void {
    const { id: upstreamId } = engine;
    this.#running = null;
    this.#silence.stop();
    if (end.kind === 'broken' && !end.isAborted) {
      this.#noteBroken(engine);
    }
    if (this.#isOver) {
      return;
    }
    switch (end.kind) {
      case 'complete':
        this.#takeEnd(engine);
        return;
      case 'notSent':
        this.#runCount -= 1;
        this.#excluded.add(upstreamId);
        this.#placeElsewhere('unreachable', end.detail);
        return;
      case 'broken':
        this.#excluded.add(upstreamId);
        this.#note('failed');
        this.#resume(end.detail);
        return;
      default:
        throw exhaustiveSwitchError(end);
    }
  }

  #takeEnd(engine: UpstreamEntry): void {
    const head = this.#head;
    if (head !== null && head.isNotRun) {
      this.#runCount -= 1;
      if (head.status === STATUS.unavailable || head.isWrongUpstream) {
        this.#excluded.add(engine.id);
      }
      this.#placeElsewhere(getRefusalNote(head), `status ${head.status}`);
      return;
    }
    if (head === null || (head.status < STATUS.multipleChoices && this.#splitter.hasPart)) {
      this.#noteBroken(engine);
      this.#note('failed');
      this.#resume('the stream ended within an event');
      return;
    }
    this.#context.quarantine.recordAnswered(this.#terms.subject);
    this.#note('ended');
    if (head.status >= STATUS.multipleChoices) {
      this.#takeError(head);
      return;
    }
    if (!this.#exchange.hasAnswered) {
      this.#exchange.beginStream(head.status, head.passedHeaders, head.isFramed);
    }
    this.#exchange.end(head.isFramed);
    this.#finish('answered', { lastEventId: this.#lastEventId });
  }

  #noteBroken(engine: UpstreamEntry): void {
    const { subject, isTrial } = this.#terms;
    this.#context.quarantine.recordBrokenExchange(subject, engine, {
      sentAtMs: this.#sentAtMs, isTrial,
    });
  }

  /** The engine's own failure is passed on as it is, unless a stream has begun. */
  #takeError(head: AnswerHead): void {
    if (this.#exchange.hasAnswered) {
      this.#giveUp(STATUS.badGateway, 'engine-failed', null);
      return;
    }
    const body = this.#errorAnswer.take();
    const { status, passedHeaders, isFramed } = head;
    this.#exchange.answer({
      status, headers: passedHeaders, body, isFramed,
    });
    this.#finish('engine-failed', { status });
  }

  /** Nothing was sent, so that it takes no repeat. */
  #placeUnsent(upstreamId: UpstreamId): void {
    if (this.#isOver) {
      return;
    }
    this.#excluded.add(upstreamId);
    this.#refusedCount += 1;
    this.#log('placedAgain', { detail: 'engine-left', upstreamId });
    if (this.#refusedCount > MAX_REFUSED_SENDS) {
      this.#note('ended');
      this.#giveUp(STATUS.unavailable, 'engines-left', SHORT_RETRY_AFTER_MS);
      return;
    }
    this.#note('notTaken');
    this.#place();
  }

  /**
   * Goes on after an attempt that did not run.
   *
   * @param note - what the placing host is told
   * @param detail - what was seen
   */
  #placeElsewhere(note: NotRunNote, detail: string): void {
    this.#refusedCount += 1;
    this.#log('placedAgain', { detail });
    if (this.#refusedCount > MAX_REFUSED_SENDS || !this.#mayRepeat(REPEAT_REASON.notRun)) {
      this.#note(note === 'unreachable' ? 'failed' : 'ended');
      this.#giveUp(STATUS.unavailable, 'engines-full', SHORT_RETRY_AFTER_MS);
      return;
    }
    this.#note(note);
    this.#place();
  }

  /** Goes on after an attempt that ran or may have run. */
  #resume(detail: string): void {
    const { route, subject } = this.#terms;
    const mayRunAgain = route.isResumable
      && this.#runCount < route.maxAttempts
      && this.#context.quarantine.isFree(subject)
      && this.#mayRepeat(REPEAT_REASON.broken);
    this.#log(mayRunAgain ? 'resumed' : 'brokenOff', {
      detail, lastEventId: this.#lastEventId, fingerprint: subject.fingerprint,
    });
    if (mayRunAgain) {
      this.#place();
    } else {
      this.#giveUp(STATUS.badGateway, 'engine-broke-off', null);
    }
  }

  #mayRepeat(reason: RepeatReason): boolean {
    if (this.#getRemainingMs() >= 0) {
      this.#permit ??= this.#repeats.tryReserve(reason);
    }
    return this.#permit !== null;
  }

  #giveUp(status: number, reason: string, retryAfterMs: number | null): void {
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
    this.#errorAnswer.release();
    this.#silence.stop();
    clearTimeout(this.#deadlineTimer ?? undefined);
    clearTimeout(this.#pauseTimer ?? undefined);
    this.#repeats.release();
    if (this.#terms.isTrial && this.#runCount === 0) {
      this.#context.quarantine.returnTrial(this.#terms.subject);
    }
    this.#placement?.cancel();
    if (this.#running !== null) {
      this.#running.abort(outcome);
    }
    this.#note('ended');
    const elapsedMs = this.#context.clock.getMonotonicMs() - this.#arrivedAtMs;
    this.#context.metrics.noteEnd('generation', outcome, elapsedMs);
    this.#log(outcome, details);
  }

  #note(kind: PlacementNote['kind']): void {
    if (this.#engineId === null) {
      return;
    }
    this.#placement?.note(kind, this.#engineId);
    if (kind !== 'started') {
      this.#engineId = null;
    }
  }

  /** A silent engine is left for another one, where the stream may go on there. */
  #watchSilence(silenceMs: number): void {
    this.#silence.stop();
    if (this.#terms.route.isResumable && this.#runCount < this.#terms.route.maxAttempts) {
      this.#silence.start(silenceMs);
    }
  }

  /** Without a repeat in the budget the silent engine is still the better hope. */
  #leaveSilent(silenceMs: number): void {
    if (this.#running === null || !this.#mayRepeat(REPEAT_REASON.silent)) {
      return;
    }
    this.#running.abort(`silent for ${Math.round(silenceMs)} ms`);
  }

  #log(outcome: string, details: Readonly<Record<string, unknown>> = {}): void {
    this.#context.logger.info({
      event: 'relay',
      outcome,
      requestId: this.#exchange.request.profile.id,
      route: this.#terms.route.name,
      runCount: this.#runCount,
      elapsedMs: Math.round(this.#context.clock.getMonotonicMs() - this.#arrivedAtMs),
      ...details,
    }, 'relayed a generation');
  }
}
