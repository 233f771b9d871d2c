/** A request that was refused. */
interface RefusedRequest {
  readonly refusedAtMs: number;
  /** Earliest time at which a caller that waits as told sends it again. */
  readonly returnAtMs: number;
}

/** How a request relates to an earlier refusal. */
export type Repetition =
  /** It was not refused lately. */
  | 'none'
  /** It comes back after the time that it was told. */
  | 'due'
  /** It comes back before that time. */
  | 'early';

/** Callers wait for at most this fraction of the time that they have left. */
const MAX_WAIT_FRACTION = 1 / 3;
/**
 * Fraction of its wait after which a request is not early. Another placement group may have told it
 * a shorter time, and the time on its way counts too.
 */
const EARLY_FRACTION = 0.5;
/** Refusals are remembered for this long; callers come back within it, or not at all. */
const KEEP_MS = 5_000;
/** The oldest refusals are forgotten beyond this number, which bounds the memory. */
const MAX_REQUESTS = 5_000;

/**
 * Remembers refused requests by their content, since a repeated request has a new id.
 *
 * Load pattern: some callers repeat at once and often. Taken as new, their requests would count as
 * demand each time, and get more chances than those of callers who wait as told.
 */
export class RefusedRequests {
  /** By content, the oldest refusal first. */
  readonly #requests = new Map<string, RefusedRequest>();

  /**
   * @param content - names the content of a request
   * @param nowMs - the current time
   * @returns how the request relates to an earlier refusal
   */
  getRepetition(content: string, nowMs: number): Repetition {
    const refused = this.#requests.get(content);
    if (refused === undefined || nowMs - refused.refusedAtMs > KEEP_MS) {
      return 'none';
    }
    return nowMs < refused.returnAtMs ? 'early' : 'due';
  }

  /**
   * @param content - names the content of a refused request
   * @param retryAfterMs - the time that its caller was told to wait
   * @param remainingMs - the time that the request had left
   * @param nowMs - the current time
   */
  add(content: string, retryAfterMs: number, remainingMs: number, nowMs: number): void {
    const waitMs = Math.min(retryAfterMs, Math.max(0, remainingMs) * MAX_WAIT_FRACTION);
    this.#requests.delete(content);
    this.#requests.set(content, {
      refusedAtMs: nowMs, returnAtMs: nowMs + waitMs * EARLY_FRACTION,
    });
    this.#forgetOldest(nowMs);
  }

  /** @param content - names the content of a request that is accepted */
  remove(content: string): void {
    this.#requests.delete(content);
  }

  #forgetOldest(nowMs: number): void {
    let [oldest] = this.#requests;
    while (oldest !== undefined
      && (this.#requests.size > MAX_REQUESTS || nowMs - oldest[1].refusedAtMs > KEEP_MS)) {
      this.#requests.delete(oldest[0]);
      [oldest] = this.#requests;
    }
  }
}
