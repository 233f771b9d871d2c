import type { PoolId, UpstreamId } from '../lib/ids.ts';

/** One process of an upstream; after a restart its id may go on. */
export interface UpstreamLifetime {
  readonly id: UpstreamId;
  /** Wall time of its start; tells two starts under one id apart. Null when it does not say. */
  readonly startedAtMs: number | null;
}

/** What an upstream says of itself in the store. */
export interface UpstreamEntry extends UpstreamLifetime {
  readonly poolId: PoolId;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly isDraining: boolean;
  /** Requests it works on at the same time. */
  readonly slots: number;
  /** How much longer it is cold, counted from when the entry was read. */
  readonly coldRemainingMs: number;
}
