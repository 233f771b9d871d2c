import type { PoolId, UpstreamId } from '../lib/ids.ts';

/** What an upstream says of itself. */
export interface UpstreamEntry {
  readonly id: UpstreamId;
  readonly poolId: PoolId;
  /** IP address and port. */
  readonly address: string;
  readonly failureDomain: string;
  readonly isDraining: boolean;
  /** Requests it works on at the same time. */
  readonly slots: number;
  /** How much longer it is cold, counted from when the entry was read. */
  readonly coldRemainingMs: number;
  /** Wall time of its start; tells two starts under one id apart. Null when it does not say. */
  readonly startedAtMs: number | null;
}
