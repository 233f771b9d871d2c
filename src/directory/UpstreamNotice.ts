/** What an upstream says of itself beside an answer. */
export interface UpstreamNotice {
  /** Whether it is about to end and wants no new requests. */
  readonly isLeaving: boolean;
  /** How long it wants no requests from this host; 0 when it does not ask for that. */
  readonly backOffMs: number;
  /** What it said that cannot be read; null when all of it can. */
  readonly malformed: string | null;
}

/** The notice of an answer that says nothing of its upstream. */
export const EMPTY_NOTICE: UpstreamNotice = { isLeaving: false, backOffMs: 0, malformed: null };
