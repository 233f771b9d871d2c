import type { SendAttemptOutput } from '../core/CoreOutput.ts';
import { createAttemptHeaders, type AttemptRequest } from './AttemptRequest.ts';

/**
 * Creates the HTTP request of an attempt at an encoder, retriever or reranker.
 *
 * @param output - the attempt
 * @returns the request that carries it
 */
export function createStagePoolRequest(output: SendAttemptOutput): AttemptRequest {
  const {
    attemptId, accountId, stageId, input,
  } = output;
  return {
    path: '/v1/run',
    headers: createAttemptHeaders(output),
    body: JSON.stringify({
      attemptId, accountId, stageId, input,
    }),
  };
}
