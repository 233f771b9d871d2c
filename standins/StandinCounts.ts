/** Counts of a stand-in, as `GET /counts` returns them. */
export interface StandinCountsReport {
  /** Executions by attempt id. */
  readonly executionsByAttempt: Readonly<Record<string, number>>;
  readonly executionsByIdempotencyKey: Readonly<Record<string, number>>;
  readonly executionsByInput: Readonly<Record<string, number>>;
  /** By `accountId/stageId`, in millionths of the billing currency. */
  readonly billedMicros: Readonly<Record<string, number>>;
  readonly executionCount: number;
  readonly refusalCount: number;
  readonly crashCount: number;
  readonly maxColdConcurrency: number;
  /** Attempts that arrived while the cold capacity was used. */
  readonly overloadCount: number;
  /** Attempts that arrived after they had been cancelled. */
  readonly sendsAfterCancelCount: number;
  /** Arrival of the last attempt, in milliseconds since the Unix epoch; 0 if there was none. */
  readonly lastSendWallMs: number;
}

function increment(counts: Map<string, number>, key: string, by = 1): void {
  counts.set(key, (counts.get(key) ?? 0) + by);
}

/** Counts what a stand-in was asked, so that checks can compare the system's claims with it. */
export class StandinCounts {
  readonly #executionsByAttempt = new Map<string, number>();

  readonly #executionsByIdempotencyKey = new Map<string, number>();

  readonly #executionsByInput = new Map<string, number>();

  readonly #billedMicros = new Map<string, number>();

  readonly #cancelled = new Set<string>();

  executionCount = 0;

  refusalCount = 0;

  crashCount = 0;

  maxColdConcurrency = 0;

  overloadCount = 0;

  sendsAfterCancelCount = 0;

  lastSendWallMs = 0;

  /**
   * Counts one execution.
   *
   * @param attemptId - the attempt
   * @param idempotencyKey - the caller's key, or null
   * @param input - the input of the attempt
   */
  addExecution(attemptId: string, idempotencyKey: string | null, input: string): void {
    this.executionCount += 1;
    increment(this.#executionsByAttempt, attemptId);
    increment(this.#executionsByInput, input);
    if (idempotencyKey !== null) {
      increment(this.#executionsByIdempotencyKey, idempotencyKey);
    }
  }

  /**
   * Adds a bill.
   *
   * @param accountId - the billed account
   * @param stageId - the billed stage
   * @param costMicros - the cost in millionths of the billing currency
   */
  addBill(accountId: string, stageId: string, costMicros: number): void {
    increment(this.#billedMicros, `${accountId}/${stageId}`, costMicros);
  }

  /**
   * @param attemptId - the attempt that just arrived
   */
  addSend(attemptId: string): void {
    this.lastSendWallMs = performance.timeOrigin + performance.now();
    if (this.#cancelled.has(attemptId)) {
      this.sendsAfterCancelCount += 1;
    }
  }

  /**
   * @param attemptId - the attempt that was cancelled
   */
  addCancel(attemptId: string): void {
    this.#cancelled.add(attemptId);
  }

  /**
   * @returns all counts as plain data
   */
  getReport(): StandinCountsReport {
    return {
      executionsByAttempt: Object.fromEntries(this.#executionsByAttempt),
      executionsByIdempotencyKey: Object.fromEntries(this.#executionsByIdempotencyKey),
      executionsByInput: Object.fromEntries(this.#executionsByInput),
      billedMicros: Object.fromEntries(this.#billedMicros),
      executionCount: this.executionCount,
      refusalCount: this.refusalCount,
      crashCount: this.crashCount,
      maxColdConcurrency: this.maxColdConcurrency,
      overloadCount: this.overloadCount,
      sendsAfterCancelCount: this.sendsAfterCancelCount,
      lastSendWallMs: this.lastSendWallMs,
    };
  }
}
