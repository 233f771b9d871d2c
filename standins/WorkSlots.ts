interface QueuedAttempt {
  readonly priority: number;
  readonly onSlot: (isAdmitted: boolean) => void;
}

/** Limits the running attempts and queues a bounded number of others. */
export class WorkSlots {
  readonly #capacity: number;

  readonly #queueLimit: number;

  #runningCount = 0;

  #queuedAttempts: QueuedAttempt[] = [];

  /**
   * @param capacity - maximum number of running attempts
   * @param queueLimit - maximum number of queued attempts
   */
  constructor(capacity: number, queueLimit: number) {
    this.#capacity = capacity;
    this.#queueLimit = queueLimit;
  }

  /** Number of running attempts. */
  get runningCount(): number {
    return this.#runningCount;
  }

  /** Number of queued attempts. */
  get queuedCount(): number {
    return this.#queuedAttempts.length;
  }

  /**
   * Waits for a free slot.
   *
   * @param priority - lower values run earlier
   * @returns whether the attempt may run; false if the queue is full or was cleared
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

  /** Releases a slot to the next queued attempt. */
  release(): void {
    const next = this.#queuedAttempts.shift();
    if (next === undefined) {
      this.#runningCount -= 1;
      return;
    }
    next.onSlot(true);
  }

  /** Rejects all queued attempts. */
  clear(): void {
    const waiters = this.#queuedAttempts;
    this.#queuedAttempts = [];
    waiters.forEach((waiter) => waiter.onSlot(false));
  }
}
