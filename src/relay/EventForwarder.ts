import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { CallerExchange } from '../ingress/CallerExchange.ts';
import type { Clock } from '../time/Clock.ts';
import type { AnswerMemory } from './AnswerMemory.ts';
import { EventSequence } from './EventSequence.ts';
import { EventSplitter, type StreamEvent } from './EventSplitter.ts';
import type { RelayedStreamVersion } from './RelayedStreamVersion.ts';
import type { RunningAttempt } from './sendAttempt.ts';
import type { AnswerHead } from './UpstreamProtocol.ts';

/** Options of an {@link EventForwarder}. */
export interface EventForwarderOptions {
  readonly clock: Clock;
  /** Limits the memory of incomplete events. */
  readonly answerMemory: AnswerMemory;
  readonly exchange: CallerExchange;
  /** Records at which software version the stream began. */
  readonly version: RelayedStreamVersion;
  /** Called when the caller gets the first event of an answer. */
  readonly onStarted: () => void;
}

/** Forwards the events of a stream to its caller, each once and in order over all attempts. */
export class EventForwarder {
  readonly #options: EventForwarderOptions;

  readonly #sequence: EventSequence;

  #splitter: EventSplitter;

  #lastEventAtMs: number;

  /**
   * @param options - see {@link EventForwarderOptions}
   */
  constructor(options: EventForwarderOptions) {
    this.#options = options;
    const { profile, arrivedAtMs } = options.exchange.request;
    this.#sequence = new EventSequence(
      profile.lastEventId,
      profile.generation?.maxOutputTokens ?? 0,
    );
    this.#splitter = new EventSplitter(options.answerMemory);
    this.#lastEventAtMs = arrivedAtMs;
  }

  /** The last event that the caller has; null when it has none, or events have no ids. */
  get lastEventId(): number | null {
    return this.#sequence.lastEventId;
  }

  /** When the caller last received an event; the arrival of the request before the first one. */
  get lastEventAtMs(): number {
    return this.#lastEventAtMs;
  }

  /** Whether the attempt has sent the beginning of an event and not yet its end. */
  get hasPartialEvent(): boolean {
    return this.#splitter.hasPartialEvent;
  }

  /** Starts with the events of a new attempt. */
  startAttempt(): void {
    this.#sequence.startAttempt();
    this.#splitter.release();
    this.#splitter = new EventSplitter(this.#options.answerMemory);
  }

  /**
   * Forwards the events that are complete. Aborts the attempt when its events don't continue the
   * stream, and pauses it while the caller does not read.
   *
   * @param attempt - the attempt
   * @param engine - the engine's entry when the request was sent to it
   * @param head - the head of the answer
   * @param chunk - the next bytes of the answer
   */
  forward(
    attempt: RunningAttempt,
    engine: UpstreamEntry,
    head: AnswerHead,
    chunk: Buffer,
  ): void {
    try {
      this.#splitter.add(chunk)
        .every((event) => this.#forwardEvent(attempt, engine, head, event));
    } catch (error) {
      attempt.abort(String(error));
    }
  }

  /** Releases the memory of an incomplete event. */
  release(): void {
    this.#splitter.release();
  }

  /** @returns whether the stream continues */
  #forwardEvent(
    attempt: RunningAttempt,
    engine: UpstreamEntry,
    head: AnswerHead,
    event: StreamEvent,
  ): boolean {
    const { clock, exchange } = this.#options;
    const decision = this.#sequence.accept(event);
    if (decision.kind === 'abort') {
      attempt.abort(decision.detail);
    }
    if (decision.kind !== 'forward') {
      return decision.kind === 'skip';
    }
    if (!exchange.hasAnswered) {
      exchange.beginStream(head.status, head.passedHeaders);
      this.#options.version.recordFirstEvent(engine);
      this.#options.onStarted();
    }
    this.#options.version.recordEvent(engine);
    this.#lastEventAtMs = clock.getMonotonicMs();
    if (!exchange.write(event.bytes)) {
      attempt.pause();
      exchange.onWritable(() => attempt.resume());
    }
    return true;
  }
}
