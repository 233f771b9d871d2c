import type { AccountId } from '../lib/ids.ts';
import type { ClaimOperation, ClaimResult } from './ClaimOperation.ts';

/** Asks a shard's owner to carry out an operation together with those of other hosts. */
export interface ClaimOperationMessage {
  readonly kind: 'claimAsk';
  readonly askId: string;
  /** `IP:port` to reply to. */
  readonly replyAddress: string;
  readonly operation: ClaimOperation;
}

/** Asks the host that minted a ticket to carry out an operation on it. */
export interface TicketOperationMessage {
  readonly kind: 'ticketAsk';
  readonly askId: string;
  /** `IP:port` to reply to. */
  readonly replyAddress: string;
  readonly accountId: AccountId;
  readonly ticket: string;
  readonly operation: ClaimOperation;
}

/** The result of an operation that was asked for. */
export interface ClaimReplyMessage {
  readonly kind: 'claimReply';
  readonly askId: string;
  readonly operation: ClaimOperation;
  readonly result: ClaimResult;
}

/** Peer messages of the claim log. */
export type ClaimMessage = ClaimOperationMessage | TicketOperationMessage | ClaimReplyMessage;
