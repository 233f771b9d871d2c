import type { SendAttemptOutput } from '../core/CoreOutput.ts';
import { createAttemptHeaders, type AttemptRequest } from './AttemptRequest.ts';

/**
 * Creates the HTTP request of an attempt at a plain service.
 *
 * @param output - the attempt
 * @returns the request that carries it, with the idempotency key for services that honour it
 */
export function createServiceRequest(output: SendAttemptOutput): AttemptRequest {
  const {
    attemptId, accountId, stageId, input,
  } = output;
  const headers = createAttemptHeaders(output);
  if (output.idempotencyKey !== null) {
    headers.push('idempotency-key', output.idempotencyKey);
  }
  return {
    path: '/v1/call',
    headers,
    body: JSON.stringify({
      attemptId, accountId, stageId, input,
    }),
  };
}
