/** State of a pool when a request is refused because no upstream of the pool is open. */
export interface ClosedPool {
  /** Time until the first upstream opens. */
  readonly opensInMs: number;
  /** Requests of this host that wait for an upstream to open. */
  readonly waitingCount: number;
  /** Slots of all upstreams of the pool. */
  readonly slots: number;
  readonly hostCount: number;
  /** Target time for answering a request. */
  readonly targetLatencyMs: number;
}

/**
 * Divides slots among the hosts.
 *
 * @param slots - slots of one or more upstreams
 * @param hostCount - hosts that use them
 * @returns this host's share, at least 1
 */
export function getHostSlotShare(slots: number, hostCount: number): number {
  return Math.max(1, Math.floor(slots / Math.max(1, hostCount)));
}

/**
 * Computes when a refused caller should retry: once an upstream is open and the requests that wait
 * already are served, each taking a slot of this host's share for the target latency.
 *
 * @param pool - see {@link ClosedPool}
 * @returns the time until the caller should retry
 */
export function getRetryAfterMs({
  opensInMs, waitingCount, slots, hostCount, targetLatencyMs,
}: ClosedPool): number {
  return opensInMs + (waitingCount / getHostSlotShare(slots, hostCount)) * targetLatencyMs;
}
