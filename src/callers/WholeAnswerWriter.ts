import type { FastifyReply } from 'fastify';
import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { RequestId } from '../lib/ids.ts';
import type { AnswerListener } from './CallerPort.ts';
import { createProblem } from './createProblem.ts';

const MS_PER_SECOND = 1_000;

/** Media type of problem details (RFC 9457). */
export const PROBLEM_TYPE = 'application/problem+json';

/**
 * Converts a retry delay to a Retry-After header.
 *
 * @param retryAfterMs - the delay
 * @returns the header's value in whole seconds, at least one
 */
export function getRetryAfterSeconds(retryAfterMs: number): string {
  return String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND)));
}

/** Writes a complete answer as one JSON response. */
export class WholeAnswerWriter implements AnswerListener {
  readonly #reply: FastifyReply;

  #requestId: RequestId | null = null;

  #answer: RequestAnswer | null = null;

  /**
   * @param reply - the response to write to
   */
  constructor(reply: FastifyReply) {
    this.#reply = reply;
  }

  /**
   * Sets the request's id, and sends the answer if it has already arrived.
   *
   * @param requestId - id of the request
   */
  start(requestId: RequestId): void {
    this.#requestId = requestId;
    this.#reply.header('parsleylift-request-id', requestId);
    if (this.#answer !== null) {
      this.#send(requestId, this.#answer);
    }
  }

  /** @inheritdoc */
  onChunk(): void {
    // The final answer contains the whole text.
  }

  /** @inheritdoc */
  onAnswer(answer: RequestAnswer): void {
    this.#answer = answer;
    if (this.#requestId !== null) {
      this.#send(this.#requestId, answer);
    }
  }

  #send(requestId: RequestId, answer: RequestAnswer): void {
    if (answer.kind === 'completed') {
      const {
        output, digest, costMicros, stages,
      } = answer;
      this.#reply.send({
        requestId, output, digest, costMicros, stages,
      });
      return;
    }
    const problem = createProblem(answer, requestId);
    if (problem.retryAfterMs !== null) {
      this.#reply.header('retry-after', getRetryAfterSeconds(problem.retryAfterMs));
    }
    this.#reply.code(problem.status).type(PROBLEM_TYPE).send(JSON.stringify(problem));
  }
}
