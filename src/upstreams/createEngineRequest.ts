import type { SendAttemptOutput } from '../core/CoreOutput.ts';
import { createAttemptHeaders, type AttemptRequest } from './AttemptRequest.ts';

/**
 * Creates the HTTP request of an attempt at a model engine.
 *
 * @param output - the attempt
 * @returns the request that carries it
 */
export function createEngineRequest(output: SendAttemptOutput): AttemptRequest {
  const {
    attemptId, accountId, stageId, input, priority,
  } = output;
  return {
    path: '/v1/generate',
    headers: createAttemptHeaders(output),
    body: JSON.stringify({
      attemptId, accountId, stageId, prompt: input, priority, resumeFromOffset: 0,
    }),
  };
}
