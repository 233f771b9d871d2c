/** A refused request whose caller may come back. */
export interface RefusedRequest {
  /** Priority class; 0 is the most urgent. */
  readonly priority: number;
  /** Time until a request like it could be accepted if no other came before. */
  readonly roomInMs: number;
  /** Time for which it would occupy the pool that it waits for. */
  readonly workMs: number;
  /** Longest wait after which it could still be served. */
  readonly usefulMs: number;
}

/**
 * Decides when refused callers come back.
 *
 * Load pattern: a burst beyond what the pools can do. Callers that are all told the same time come
 * back together, find room for a few, and are refused again, for good. Here each one gets the time
 * at which the pool has finished the work of those told before it, the more urgent classes first.
 */
export class ReturnSchedule {
  /** Time until which the returns of a class, and of all more urgent ones, occupy the pool. */
  readonly #occupiedUntilMs = new Map<number, number>();

  /**
   * @param refused - the refused request
   * @param nowMs - the current time
   * @returns time after which its caller should come back
   */
  add({
    priority, roomInMs, workMs, usefulMs,
  }: RefusedRequest, nowMs: number): number {
    const returnsAtMs = Math.max(nowMs + roomInMs, this.#getOccupiedUntilMs(priority));
    if (returnsAtMs - nowMs > usefulMs) {
      // It won't be served, so it takes no room of those that can be.
      return Math.max(0, roomInMs);
    }
    this.#occupiedUntilMs.set(priority, returnsAtMs + workMs);
    [...this.#occupiedUntilMs].forEach(([other, untilMs]) => {
      if (other > priority) {
        this.#occupiedUntilMs.set(other, Math.max(untilMs, returnsAtMs) + workMs);
      }
    });
    return returnsAtMs - nowMs;
  }

  #getOccupiedUntilMs(priority: number): number {
    return Math.max(0, ...[...this.#occupiedUntilMs]
      .filter(([other]) => other <= priority)
      .map(([, untilMs]) => untilMs));
  }
}
