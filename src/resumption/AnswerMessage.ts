import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { AccountId, RequestId } from '../lib/ids.ts';

/** Asks the host that took a request for what its caller has not seen yet. */
export interface AnswerQueryMessage {
  readonly kind: 'answerAsk';
  readonly requestId: RequestId;
  /** Another account's request is as unknown as a missing one. */
  readonly accountId: AccountId;
  /** `IP:port` to reply to. */
  readonly replyAddress: string;
  /** The first character that is still needed. */
  readonly fromOffset: number;
}

/** What the host that took a request has of its answer. */
export interface AnswerReplyMessage {
  readonly kind: 'answerReply';
  readonly requestId: RequestId;
  readonly isKnown: boolean;
  /** Place of the text in the answer. */
  readonly offset: number;
  readonly text: string;
  /** The final answer; null while the request runs. */
  readonly answer: RequestAnswer | null;
}

/** Peer messages about answers of requests that another host took. */
export type AnswerMessage = AnswerQueryMessage | AnswerReplyMessage;
