import type { UpstreamId } from '../lib/ids.ts';

/** Asks the steward of a cold upstream for one slot. */
export interface GrantAskMessage {
  readonly kind: 'grantAsk';
  /** Names the ask and the slot that it may get; random. */
  readonly askId: string;
  readonly upstreamId: UpstreamId;
  /** How long the slot is wanted, counted from the send of this message. */
  readonly durationMs: number;
}

/** Grants or denies the slot that was asked for. */
export interface GrantReplyMessage {
  readonly kind: 'grantReply';
  readonly askId: string;
  readonly upstreamId: UpstreamId;
  /** Epoch of the steward's duty. */
  readonly epoch: number;
  /** How long the slot may be used, counted from the send of the ask; 0 when denied. */
  readonly durationMs: number;
  /** When to ask again after a denial. */
  readonly retryAfterMs: number;
}

/** Gives a slot back that is free and no longer used by the sender. */
export interface GrantReturnMessage {
  readonly kind: 'grantReturn';
  readonly askId: string;
  readonly upstreamId: UpstreamId;
}

/** A message about slots of cold upstreams. */
export type GrantMessage = GrantAskMessage | GrantReplyMessage | GrantReturnMessage;
