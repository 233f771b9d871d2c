import type { RequestRecord } from '../tables/RequestRecord.ts';

/** Maximum number of lines per request, which bounds the memory of a request with many retries. */
const MAX_EXPLANATION_LINES = 64;

/**
 * Records a decision about a request for operators.
 *
 * @param request - the request
 * @param nowMs - monotonic time of the decision
 * @param decision - kind of the decision
 * @param detail - facts that the decision is based on
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
