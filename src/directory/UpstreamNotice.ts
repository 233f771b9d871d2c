/** Notice of an upstream's rate limit, summed over all hosts, in one of its answers. */
export type LimitNotice =
  /** The answer carries no valid limit notice; the known limit stays in force. */
  | { readonly kind: 'unsaid' }
  /** The upstream advertises no limit. */
  | { readonly kind: 'none' }
  | { readonly kind: 'named'; readonly requestsPerSecond: number };

/** Notices of an upstream about itself in one answer. */
export interface UpstreamNotice {
  /** Whether the upstream is about to stop and accepts no new requests. */
  readonly isLeaving: boolean;
  /** Time for which the upstream asks this host to send no requests; 0 when it does not. */
  readonly backOffMs: number;
  readonly limit: LimitNotice;
  /** The malformed part of the notices; null when all of them are valid. */
  readonly malformed: string | null;
}

/** Notice used when the upstream gave no answer. */
export const EMPTY_NOTICE: UpstreamNotice = {
  isLeaving: false, backOffMs: 0, limit: { kind: 'unsaid' }, malformed: null,
};
