import type { RequestRecord } from '../tables/RequestRecord.ts';

/** Lines kept for a request at most; a request with endless retries does not grow. */
const MAX_EXPLANATION_LINES = 64;

/**
 * Notes a decision about a request for operators.
 *
 * @param request - the request
 * @param nowMs - when it was decided
 * @param decision - what was decided
 * @param detail - what it was decided on
 */
export function explain(
  request: RequestRecord,
  nowMs: number,
  decision: string,
  detail: string,
): void {
  if (request.explanation.length < MAX_EXPLANATION_LINES) {
    request.explanation.push({ afterMs: nowMs - request.arrivedAtMs, decision, detail });
  }
}
