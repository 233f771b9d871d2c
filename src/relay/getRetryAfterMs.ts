/** What is known when a request is refused since no upstream of its pool is open. */
export interface ClosedPool {
  /** Time until the first upstream opens. */
  readonly opensInMs: number;
  /** Requests of this host that wait for that. */
  readonly waitingCount: number;
  /** Slots of all upstreams of the pool. */
  readonly slots: number;
  readonly hostCount: number;
  /** Time within which a request is answered well. */
  readonly targetLatencyMs: number;
}

/**
 * @param slots - slots of one or more upstreams
 * @param hostCount - hosts that use them
 * @returns how many of them this host may take; one at least
 */
export function getHostSlotShare(slots: number, hostCount: number): number {
  return Math.max(1, Math.floor(slots / Math.max(1, hostCount)));
}

/**
 * Tells a refused caller when it is worth coming back: when an upstream is open and those that wait
 * already have been served, each with a slot of this host's share for its target latency.
 *
 * @param pool - see {@link ClosedPool}
 * @returns the time to wait
 */
export function getRetryAfterMs({
  opensInMs, waitingCount, slots, hostCount, targetLatencyMs,
}: ClosedPool): number {
  return opensInMs + (waitingCount / getHostSlotShare(slots, hostCount)) * targetLatencyMs;
}
