import type { WholeAnswer } from './CallerExchange.ts';

const MS_PER_SECOND = 1_000;

/**
 * Creates an error answer of the serving system itself.
 *
 * @param status - the HTTP status
 * @param reason - a short code for the cause
 * @param retryAfterMs - time after which to retry; null when a retry can't help
 * @returns the answer
 */
export function createErrorAnswer(
  status: number,
  reason: string,
  retryAfterMs: number | null,
): WholeAnswer {
  const retryHeaders = retryAfterMs === null
    ? []
    : ['Retry-After', (retryAfterMs / MS_PER_SECOND).toFixed(3)];
  return {
    status,
    headers: ['Content-Type', 'application/json', ...retryHeaders],
    body: Buffer.from(JSON.stringify({ reason })),
    isEndMarked: true,
  };
}
