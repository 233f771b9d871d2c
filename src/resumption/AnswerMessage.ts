import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { AccountId, RequestId } from '../lib/ids.ts';

/** Queries the host that accepted a request for the rest of its answer. */
export interface AnswerQueryMessage {
  readonly kind: 'answerAsk';
  readonly requestId: RequestId;
  /** Account of the caller; a request of another account is reported as unknown. */
  readonly accountId: AccountId;
  /** `IP:port` for the reply. */
  readonly replyAddress: string;
  /** Offset of the first character that is still needed. */
  readonly fromOffset: number;
}

/** Reply of the host that accepted a request, with the answer so far. */
export interface AnswerReplyMessage {
  readonly kind: 'answerReply';
  readonly requestId: RequestId;
  readonly isKnown: boolean;
  /** Offset of the text in the answer. */
  readonly offset: number;
  readonly text: string;
  /** The final answer; null while the request is in progress. */
  readonly answer: RequestAnswer | null;
}

/** Peer messages about the answers of requests that another host accepted. */
export type AnswerMessage = AnswerQueryMessage | AnswerReplyMessage;
