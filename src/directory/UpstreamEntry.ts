import type { PoolId, UpstreamId } from '../lib/ids.ts';

/** One process of an upstream; a restarted upstream may keep its id. */
export interface UpstreamLifetime {
  readonly id: UpstreamId;
  /** Wall time of its start; distinguishes two starts under one id. Null when not announced. */
  readonly startedAtMs: number | null;
}

/** Entry of an upstream in the store. */
export interface UpstreamEntry extends UpstreamLifetime {
  readonly poolId: PoolId;
  /** Version of its software; null when not announced. Not the version of its model's weights. */
  readonly softwareVersion: string | null;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly isDraining: boolean;
  /** Number of requests that it processes concurrently. */
  readonly slots: number;
  /** Time for which it stays cold, counted from when the entry was read. */
  readonly coldRemainingMs: number;
}

/** Entry of an upstream with the state that this host adds. */
export interface KnownUpstream {
  readonly entry: UpstreamEntry;
  /** Monotonic time until which the upstream is cold according to its entry. */
  readonly coldUntilMs: number;
}
