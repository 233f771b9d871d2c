import type { UpstreamId } from '../lib/ids.ts';

/** Requests one slot from the grant coordinator of a cold upstream. */
export interface GrantAskMessage {
  readonly kind: 'grantAsk';
  /** Random id of the request and of the slot that it may be granted. */
  readonly askId: string;
  readonly upstreamId: UpstreamId;
  /** Requested duration of the slot, counted from the send of this message. */
  readonly durationMs: number;
}

/** Grants or denies the requested slot. */
export interface GrantReplyMessage {
  readonly kind: 'grantReply';
  readonly askId: string;
  readonly upstreamId: UpstreamId;
  /** Epoch of the coordinator's duty. */
  readonly epoch: number;
  /** How long the slot may be used, counted from the send of the request; 0 when denied. */
  readonly durationMs: number;
  /** Delay before the next request after a denial. */
  readonly retryAfterMs: number;
}

/** Returns a granted slot that the sender no longer uses. */
export interface GrantReturnMessage {
  readonly kind: 'grantReturn';
  readonly askId: string;
  readonly upstreamId: UpstreamId;
}

/** A message about slots of cold upstreams. */
export type GrantMessage = GrantAskMessage | GrantReplyMessage | GrantReturnMessage;
