import type { AccountId } from '../lib/ids.ts';
import type { ClaimOperation, ClaimResult } from './ClaimOperation.ts';

/** Requests an operation from the shard's owner, which batches the operations of all hosts. */
export interface ClaimOperationMessage {
  readonly kind: 'claimAsk';
  readonly askId: string;
  /** `IP:port` to reply to. */
  readonly replyAddress: string;
  readonly operation: ClaimOperation;
}

/** Requests an operation on a ticket from the host that issued it. */
export interface TicketOperationMessage {
  readonly kind: 'ticketAsk';
  readonly askId: string;
  /** `IP:port` to reply to. */
  readonly replyAddress: string;
  readonly accountId: AccountId;
  readonly ticket: string;
  readonly operation: ClaimOperation;
}

/** Result of a requested operation. */
export interface ClaimReplyMessage {
  readonly kind: 'claimReply';
  readonly askId: string;
  readonly operation: ClaimOperation;
  readonly result: ClaimResult;
}

/** Peer message of the claim log. */
export type ClaimMessage = ClaimOperationMessage | TicketOperationMessage | ClaimReplyMessage;
