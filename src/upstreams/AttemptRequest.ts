import type { SendAttemptOutput } from '../core/CoreOutput.ts';

/** An attempt as an HTTP request. */
export interface AttemptRequest {
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: string;
}

/**
 * Creates the headers that every attempt carries.
 *
 * @param output - the attempt
 * @returns alternating names and values
 */
export function createAttemptHeaders(output: SendAttemptOutput): string[] {
  const headers = ['content-type', 'application/json'];
  if (output.traceparent !== '') {
    headers.push('traceparent', output.traceparent);
  }
  return headers;
}
