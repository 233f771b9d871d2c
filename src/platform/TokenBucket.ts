const MS_PER_SECOND = 1000;

/** A token bucket whose tokens can be reserved ahead. */
export class TokenBucket {
  #ratePerSecond: number;

  #capacity: number;

  #level: number;

  #updatedMs: number;

  /**
   * @param ratePerSecond - tokens that come in a second
   * @param capacity - tokens that the bucket holds; it starts full
   * @param nowMs - the monotonic time
   */
  constructor(ratePerSecond: number, capacity: number, nowMs: number) {
    this.#ratePerSecond = ratePerSecond;
    this.#capacity = capacity;
    this.#level = capacity;
    this.#updatedMs = nowMs;
  }

  /** Tokens in the bucket; negative when some are reserved ahead. */
  get level(): number {
    return this.#level;
  }

  /**
   * Changes rate and capacity; the tokens in the bucket stay, as far as they fit.
   *
   * @param ratePerSecond - tokens that come in a second
   * @param capacity - tokens that the bucket holds
   */
  resize(ratePerSecond: number, capacity: number): void {
    this.#ratePerSecond = ratePerSecond;
    this.#capacity = capacity;
    this.#level = Math.min(this.#level, capacity);
  }

  /**
   * Adds the tokens that came since the last call.
   *
   * @param nowMs - the monotonic time
   * @returns tokens that did not fit
   */
  refill(nowMs: number): number {
    const elapsedMs = Math.max(0, nowMs - this.#updatedMs);
    this.#updatedMs = nowMs;
    return this.add((elapsedMs * this.#ratePerSecond) / MS_PER_SECOND);
  }

  /**
   * @param tokens - tokens to put in
   * @returns tokens that did not fit
   */
  add(tokens: number): number {
    const level = this.#level + tokens;
    this.#level = Math.min(this.#capacity, level);
    return level - this.#level;
  }

  /**
   * Takes a token that is there.
   *
   * @returns whether there was one
   */
  tryTake(): boolean {
    if (this.#level < 1) {
      return false;
    }
    this.#level -= 1;
    return true;
  }

  /**
   * Takes a token, ahead of its coming if need be.
   *
   * @param maxWaitMs - how long the token may be waited for
   * @returns time until the token has come; null, and nothing taken, when that is too long
   */
  reserve(maxWaitMs: number): number | null {
    const waitMs = Math.max(0, ((1 - this.#level) * MS_PER_SECOND) / this.#ratePerSecond);
    if (!(waitMs <= maxWaitMs)) {
      return null;
    }
    this.#level -= 1;
    return waitMs;
  }

  /** Takes all tokens; reservations stay. */
  empty(): void {
    this.#level = Math.min(0, this.#level);
  }
}
