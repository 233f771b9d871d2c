import type { AttemptResult } from './sendAttempt.ts';
import type { AnswerHead } from './UpstreamProtocol.ts';

const LOWEST_FAILURE_STATUS = 500;

/**
 * Tells what the end of an attempt shows about the software of its upstream.
 *
 * @param head - head of the answer; null when none has arrived
 * @param result - how the attempt ended
 * @returns `bad` for a failure of the upstream; `dropped` when the request has not run there or
 * this host ended the attempt
 */
export function getAttemptVerdict(
  head: AnswerHead | null,
  result: AttemptResult,
): 'good' | 'bad' | 'dropped' {
  if (result.kind === 'notSent' || (result.kind === 'broken' && result.isAborted)
    || head?.isNotRun === true) {
    return 'dropped';
  }
  return result.kind === 'broken' || head === null || head.status >= LOWEST_FAILURE_STATUS
    ? 'bad'
    : 'good';
}
