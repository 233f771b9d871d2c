import type { SendAttemptOutput } from '../core/CoreOutput.ts';

/** An attempt as an HTTP request. */
export interface AttemptRequest {
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body: string;
}

/**
 * @param output - the attempt
 * @returns the headers that every attempt carries, names and values in turn
 */
export function createAttemptHeaders(output: SendAttemptOutput): string[] {
  const headers = ['content-type', 'application/json'];
  if (output.traceparent !== '') {
    headers.push('traceparent', output.traceparent);
  }
  return headers;
}
