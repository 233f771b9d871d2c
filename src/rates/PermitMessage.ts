import type { HostId, UpstreamId } from '../lib/ids.ts';

/** An upstream's advertised limit as one host reports it to another; ages are relative to now. */
export interface LimitReport {
  readonly upstreamId: UpstreamId;
  readonly startedAtMs: number | null;
  /** Null when the upstream no longer advertises a limit. */
  readonly requestsPerSecond: number | null;
  readonly askedAgoMs: number;
  readonly heardAgoMs: number;
  /** Whether the reporting host's reserve allows a send now. */
  readonly hasReserve: boolean;
  /** Sends from the host's reserve since its last report. */
  readonly spentCount: number;
}

/** Request for a permit, sent to a limit coordinator. */
export interface PermitRequest {
  readonly hostId: HostId;
  /** Upstreams of which any one will do; empty to exchange reports only. */
  readonly upstreamIds: readonly UpstreamId[];
  /** Longest time until the send. */
  readonly maxWaitMs: number;
  readonly reports: readonly LimitReport[];
}

/** Decision of a limit coordinator about one permit request. */
export type PermitDecision =
  | { readonly kind: 'granted'; readonly upstreamId: UpstreamId; readonly waitMs: number }
  /** No upstream has a permit left within `maxWaitMs`. */
  | { readonly kind: 'denied'; readonly retryAfterMs: number }
  /** The host is not the coordinator, or its takeover delay has not passed. */
  | { readonly kind: 'notKept' };

/** Response of a limit coordinator to a {@link PermitRequest}. */
export interface PermitResponse {
  readonly decision: PermitDecision;
  readonly reports: readonly LimitReport[];
}

/** HTTP paths of permit requests on the peer port. */
export const PERMIT_PATHS = { request: '/rates/leave' } as const;
