import type { StreamEvent } from './EventSplitter.ts';

/** Decision on an event that an engine sent. */
export type EventDecision =
  | { readonly kind: 'forward' }
  /** The caller has received it from an earlier attempt. */
  | { readonly kind: 'skip' }
  /** The attempt must not go on. */
  | { readonly kind: 'abort'; readonly detail: string };

/** Events allowed beyond one for each token, such as the event that ends a stream. */
const EXTRA_EVENT_COUNT = 64;

/**
 * Checks the events of a stream across its attempts: the caller receives each event once, without a
 * gap, and no more events than its request allows.
 */
export class EventSequence {
  readonly #maxEventCount: number;

  #lastEventId: number | null;

  /** Number of events of the current attempt. */
  #eventCount = 0;

  /**
   * @param lastEventId - the last event that the caller has; null for a stream from its start
   * @param maxOutputTokens - maximum number of tokens; an event has at least one. 0: unlimited
   */
  constructor(lastEventId: number | null, maxOutputTokens: number) {
    this.#lastEventId = lastEventId;
    this.#maxEventCount = maxOutputTokens === 0 ? Infinity : maxOutputTokens + EXTRA_EVENT_COUNT;
  }

  /** The last event that the caller has; null when it has none, or events have no ids. */
  get lastEventId(): number | null {
    return this.#lastEventId;
  }

  /** Starts the count of a new attempt. */
  startAttempt(): void {
    this.#eventCount = 0;
  }

  /**
   * @param event - the next event of the attempt
   * @returns what to do with it; one that is forwarded counts as received by the caller
   */
  accept({ id }: StreamEvent): EventDecision {
    this.#eventCount += 1;
    if (this.#eventCount > this.#maxEventCount) {
      return { kind: 'abort', detail: `${this.#eventCount} events exceed the maximum` };
    }
    if (id !== null && this.#lastEventId !== null) {
      if (id <= this.#lastEventId) {
        return { kind: 'skip' };
      }
      if (id !== this.#lastEventId + 1) {
        return { kind: 'abort', detail: `event ${id} follows event ${this.#lastEventId}` };
      }
    }
    this.#lastEventId = id ?? this.#lastEventId;
    return { kind: 'forward' };
  }
}
