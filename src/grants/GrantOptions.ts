/** How slots of cold upstreams are granted. Equal on all hosts. */
export interface GrantOptions {
  /** Usual duration of a slot, counted from the send of the ask. */
  readonly grantMs: number;
  /** Longest duration of a slot; a new steward waits as long before its first grant. */
  readonly maxGrantMs: number;
  /** Time by which an ask is longer than the attempt that it is for. */
  readonly requestSlackMs: number;
  /** Part by which two hosts' clocks may run apart. */
  readonly driftFraction: number;
  /** Time that a steward adds to what it granted before it grants the slot again. */
  readonly marginMs: number;
  /** How long a host waits for a reply before it asks again. */
  readonly replyTimeoutMs: number;
  /** When a host that was denied asks again. */
  readonly retryAfterMs: number;
  /** How long a host keeps a slot that it does not use. */
  readonly maxIdleMs: number;
  /** Part of what an upstream bears that is shared out to the hosts without any steward. */
  readonly shareFraction: number;
}

/** Defaults of grants. */
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
 * Divides what a cold upstream bears. Each host owns its share at all times, with or without a
 * steward; the steward grants only the rest, so that both together never exceed the whole.
 *
 * @param coldStartLimit - attempts that the upstream bears, over all hosts
 * @param hostCountBound - hosts that may send to it at most
 * @param shareFraction - part of `bearable` that is shared out
 * @returns the slots of each host, 0 when there are more hosts than slots, and the steward's rest
 */
export function getGrantSplit(
  coldStartLimit: number,
  hostCountBound: number,
  shareFraction: number,
): { readonly slotsPerHost: number; readonly coordinatorSlots: number } {
  const slotsPerHost = Math.floor((coldStartLimit * shareFraction) / Math.max(1, hostCountBound));
  return { slotsPerHost: slotsPerHost, coordinatorSlots: coldStartLimit - slotsPerHost * hostCountBound };
}
