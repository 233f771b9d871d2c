const MS_PER_SECOND = 1000;

/** Token bucket whose tokens can be reserved before they are added. */
export class TokenBucket {
  #ratePerSecond: number;

  #capacity: number;

  #level: number;

  #updatedMs: number;

  /**
   * @param ratePerSecond - tokens added per second
   * @param capacity - most tokens that the bucket holds; it starts full
   * @param nowMs - the monotonic time
   */
  constructor(ratePerSecond: number, capacity: number, nowMs: number) {
    this.#ratePerSecond = ratePerSecond;
    this.#capacity = capacity;
    this.#level = capacity;
    this.#updatedMs = nowMs;
  }

  /** Tokens in the bucket; negative when future tokens are reserved. */
  get level(): number {
    return this.#level;
  }

  /**
   * Changes rate and capacity; tokens above the new capacity are lost.
   *
   * @param ratePerSecond - tokens added per second
   * @param capacity - most tokens that the bucket holds
   */
  resize(ratePerSecond: number, capacity: number): void {
    this.#ratePerSecond = ratePerSecond;
    this.#capacity = capacity;
    this.#level = Math.min(this.#level, capacity);
  }

  /**
   * Adds the tokens that are due since the last call.
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
   * Adds tokens up to the capacity.
   *
   * @param tokens - tokens to add
   * @returns tokens that did not fit
   */
  add(tokens: number): number {
    const level = this.#level + tokens;
    this.#level = Math.min(this.#capacity, level);
    return level - this.#level;
  }

  /**
   * Takes a token if the bucket holds one.
   *
   * @returns whether a token was taken
   */
  tryTake(): boolean {
    if (this.#level < 1) {
      return false;
    }
    this.#level -= 1;
    return true;
  }

  /**
   * Takes a token, or reserves a future one.
   *
   * @param maxWaitMs - longest wait for the token
   * @returns time until the token is available; null, with nothing taken, when that is longer
   */
  reserve(maxWaitMs: number): number | null {
    const waitMs = Math.max(0, ((1 - this.#level) * MS_PER_SECOND) / this.#ratePerSecond);
    if (!(waitMs <= maxWaitMs)) {
      return null;
    }
    this.#level -= 1;
    return waitMs;
  }

  /** Removes all tokens; reservations stay. */
  empty(): void {
    this.#level = Math.min(0, this.#level);
  }
}
