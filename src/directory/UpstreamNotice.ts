/** What an answer says of the requests that its upstream takes from all hosts together. */
export type LimitNotice =
  /** It says nothing that can be believed; what was known before holds. */
  | { readonly kind: 'unsaid' }
  /** The upstream names no limit. */
  | { readonly kind: 'none' }
  | { readonly kind: 'named'; readonly requestsPerSecond: number };

/** What an upstream says of itself beside an answer. */
export interface UpstreamNotice {
  /** Whether it is about to end and wants no new requests. */
  readonly isLeaving: boolean;
  /** How long it wants no requests from this host; 0 when it does not ask for that. */
  readonly backOffMs: number;
  readonly limit: LimitNotice;
  /** What it said that cannot be read; null when all of it can. */
  readonly malformed: string | null;
}

/** The notice where there is no answer of the upstream. */
export const EMPTY_NOTICE: UpstreamNotice = {
  isLeaving: false, backOffMs: 0, limit: { kind: 'unsaid' }, malformed: null,
};
