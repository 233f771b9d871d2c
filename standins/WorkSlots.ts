interface QueuedAttempt {
  readonly priority: number;
  readonly onSlot: (isAdmitted: boolean) => void;
}

/** A bounded number of running attempts with a bounded queue before them. */
export class WorkSlots {
  readonly #capacity: number;

  readonly #queueLimit: number;

  #runningCount = 0;

  #queuedAttempts: QueuedAttempt[] = [];

  /**
   * @param capacity - attempts that run at once
   * @param queueLimit - attempts that wait at most
   */
  constructor(capacity: number, queueLimit: number) {
    this.#capacity = capacity;
    this.#queueLimit = queueLimit;
  }

  /** Attempts that run now. */
  get runningCount(): number {
    return this.#runningCount;
  }

  /** Attempts that wait now. */
  get queuedCount(): number {
    return this.#queuedAttempts.length;
  }

  /**
   * Waits for a free slot.
   *
   * @param priority - lower runs earlier
   * @returns whether the attempt may run; false when the queue is full
   */
  acquire(priority: number): Promise<boolean> {
    if (this.#runningCount < this.#capacity) {
      this.#runningCount += 1;
      return Promise.resolve(true);
    }
    if (this.#queuedAttempts.length >= this.#queueLimit) {
      return Promise.resolve(false);
    }
    return new Promise((resolve) => {
      this.#queuedAttempts.push({ priority, onSlot: resolve });
      this.#queuedAttempts.sort((one, other) => one.priority - other.priority);
    });
  }

  /** Frees a slot for the next waiter. */
  release(): void {
    const next = this.#queuedAttempts.shift();
    if (next === undefined) {
      this.#runningCount -= 1;
      return;
    }
    next.onSlot(true);
  }

  /** Sends away all waiters. */
  clear(): void {
    const waiters = this.#queuedAttempts;
    this.#queuedAttempts = [];
    waiters.forEach((waiter) => waiter.onSlot(false));
  }
}
