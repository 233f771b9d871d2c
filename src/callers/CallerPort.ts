import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { RequestSubmittedInput } from '../core/CoreInput.ts';
import type { AccountId, IdempotencyKey, RequestId } from '../lib/ids.ts';

/** Receives the output of a request. */
export interface AnswerListener {
  /**
   * Handles a chunk of the answer.
   *
   * @param offset - offset of the text in the answer, in UTF-16 code units
   * @param text - the text of the chunk
   */
  onChunk(offset: number, text: string): void;
  /**
   * Handles the final answer; no further call follows.
   *
   * @param answer - the answer
   */
  onAnswer(answer: RequestAnswer): void;
}

/** Content of a submitted request, without its id. */
export type RequestSubmission = Omit<RequestSubmittedInput, 'kind' | 'requestId'>;

/** Operations of the host that the HTTP routes for callers use. */
export interface CallerPort {
  /**
   * Finds the client account of a key.
   *
   * @param callerKey - the key sent by the caller
   * @returns the account; null for an unknown key
   */
  getAccountId(callerKey: string): AccountId | null;
  /**
   * Submits a request to the core.
   *
   * @param submission - the request
   * @param listener - receives the chunks and the answer
   * @returns the id by which the answer can be fetched again
   */
  submit(submission: RequestSubmission, listener: AnswerListener): RequestId;
  /**
   * Resumes a request that was submitted before, from the start of its answer.
   *
   * @param requestId - the request
   * @param accountId - account of the caller; requests of other accounts count as unknown
   * @param listener - receives the chunks and the answer
   * @returns false if the request is unknown
   */
  resume(
    requestId: RequestId, accountId: AccountId, listener: AnswerListener,
  ): Promise<boolean>;
  /**
   * Creates a ticket.
   *
   * @param accountId - the only account that may use the ticket
   * @returns an idempotency key that this host, while it runs, can serve without the platform
   */
  createTicket(accountId: AccountId): IdempotencyKey;
  /**
   * Handles the disconnect of a caller.
   *
   * @param requestId - the caller's request
   * @param listener - the listener to remove
   */
  handleCallerGone(requestId: RequestId, listener: AnswerListener): void;
  /**
   * Checks whether the host is ready.
   *
   * @returns whether the load balancer should send requests to it
   */
  isReady(): boolean;
}
