import type { HostId, UpstreamId } from '../lib/ids.ts';

/** What a host tells another of the limit of an upstream. Durations count back from now. */
export interface LimitReport {
  readonly upstreamId: UpstreamId;
  readonly startedAtMs: number | null;
  /** Null when the upstream names no limit any more. */
  readonly requestsPerSecond: number | null;
  readonly askedAgoMs: number;
  readonly heardAgoMs: number;
  /** Whether the host may send there now without leave. */
  readonly hasReserve: boolean;
  /** Sends that it has made without leave since its last report. */
  readonly spentCount: number;
}

/** Asks the host that keeps the sum for leave to send. */
export interface PermitRequest {
  readonly hostId: HostId;
  /** Upstreams of which one is wanted; none to compare what is known only. */
  readonly upstreamIds: readonly UpstreamId[];
  /** How far ahead the send may lie. */
  readonly maxWaitMs: number;
  readonly reports: readonly LimitReport[];
}

/** What the host that keeps the sum decided. */
export type PermitDecision =
  | { readonly kind: 'granted'; readonly upstreamId: UpstreamId; readonly waitMs: number }
  /** None of the upstreams takes one more in time. */
  | { readonly kind: 'denied'; readonly retryAfterMs: number }
  /** It does not keep the sum, or not for long enough. */
  | { readonly kind: 'notKept' };

/** Its answer. */
export interface PermitResponse {
  readonly decision: PermitDecision;
  readonly reports: readonly LimitReport[];
}

/** Where it is asked. */
export const PERMIT_PATHS = { request: '/rates/leave' } as const;
