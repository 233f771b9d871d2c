import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { RequestSubmittedInput } from '../core/CoreInput.ts';
import type { AccountId, IdempotencyKey, RequestId } from '../lib/ids.ts';

/** Who wants to hear of a request. */
export interface AnswerListener {
  /**
   * @param offset - place of the text in the answer, in UTF-16 code units
   * @param text - what follows there
   */
  onChunk(offset: number, text: string): void;
  /**
   * @param answer - the final answer; nothing follows
   */
  onAnswer(answer: RequestAnswer): void;
}

/** What a submitted request carries beside its id. */
export type RequestSubmission = Omit<RequestSubmittedInput, 'kind' | 'requestId'>;

/** What the callers' face asks of the host. */
export interface CallerPort {
  /**
   * @param callerKey - the key a caller showed
   * @returns its account; null when none has this key
   */
  getAccountId(callerKey: string): AccountId | null;
  /**
   * Hands a request to the core.
   *
   * @param submission - the request
   * @param listener - told of chunks and of the answer
   * @returns the id under which the answer can be fetched again
   */
  submit(submission: RequestSubmission, listener: AnswerListener): RequestId;
  /**
   * Listens to a request that was submitted before, from the start of its answer.
   *
   * @param requestId - the request
   * @param accountId - who asks; another account's request is as unknown as a missing one
   * @param listener - told of chunks and of the answer
   * @returns false when the request is not known
   */
  resume(
    requestId: RequestId, accountId: AccountId, listener: AnswerListener,
  ): Promise<boolean>;
  /**
   * @param accountId - the only account that may use the ticket
   * @returns an idempotency key that this host can serve without the platform while it lives
   */
  createTicket(accountId: AccountId): IdempotencyKey;
  /**
   * The caller went away.
   *
   * @param requestId - its request
   * @param listener - who no longer listens
   */
  handleCallerGone(requestId: RequestId, listener: AnswerListener): void;
  /**
   * @returns whether the balancer should send requests here
   */
  isReady(): boolean;
}
