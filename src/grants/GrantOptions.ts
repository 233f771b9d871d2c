/** Durations and limits of the grants of slots at cold upstreams; equal on all hosts. */
export interface GrantOptions {
  /** Usual duration of a slot, counted from the send of the request. */
  readonly grantMs: number;
  /** Maximum duration of a slot; a new coordinator waits as long before its first grant. */
  readonly maxGrantMs: number;
  /** Time by which a requested slot is longer than the attempt that it is for. */
  readonly requestSlackMs: number;
  /** Maximum relative drift between the clocks of two hosts. */
  readonly driftFraction: number;
  /** Time that a coordinator adds to a grant's duration before it grants the slot again. */
  readonly marginMs: number;
  /** How long a host waits for a reply before it repeats the request. */
  readonly replyTimeoutMs: number;
  /** Delay before a host whose request was denied sends the next one. */
  readonly retryAfterMs: number;
  /** How long a host keeps an unused slot. */
  readonly maxIdleMs: number;
  /** Fraction of the cold start limit that hosts may use without a coordinator. */
  readonly shareFraction: number;
}

/** Defaults of {@link GrantOptions}. */
export const DEFAULT_GRANT_OPTIONS: GrantOptions = {
  grantMs: 8_000,
  maxGrantMs: 12_000,
  requestSlackMs: 2_000,
  driftFraction: 0.01,
  marginMs: 100,
  replyTimeoutMs: 300,
  retryAfterMs: 200,
  maxIdleMs: 300,
  shareFraction: 0.5,
};

/**
 * Divides the cold start limit of an upstream. Each host owns its share at all times, with or
 * without a coordinator; the coordinator grants only the rest, so that both together never exceed
 * the limit.
 *
 * @param coldStartLimit - maximum concurrent attempts at the upstream, over all hosts
 * @param hostCountBound - maximum number of hosts that may send to the upstream
 * @param shareFraction - fraction of `coldStartLimit` that is divided among the hosts
 * @returns the slots of each host, 0 when there are more hosts than slots, and the coordinator's
 *   remaining slots
 */
export function getGrantSplit(
  coldStartLimit: number,
  hostCountBound: number,
  shareFraction: number,
): { readonly slotsPerHost: number; readonly coordinatorSlots: number } {
  const slotsPerHost = Math.floor((coldStartLimit * shareFraction) / Math.max(1, hostCountBound));
  return { slotsPerHost, coordinatorSlots: coldStartLimit - slotsPerHost * hostCountBound };
}
