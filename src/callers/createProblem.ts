import type { RefusedAnswer } from '../answers/RequestAnswer.ts';
import { getHttpStatus } from './getHttpStatus.ts';

/** Problem details (RFC 9457) with the extension members of this project. */
export interface Problem {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly code: string;
  readonly notRun: boolean;
  readonly retryAfterMs: number | null;
  readonly costMicros: number;
  readonly requestId: string | null;
}

/**
 * Converts a refusal to problem details.
 *
 * @param answer - the refusal
 * @param requestId - id of the request; null if none was created
 * @returns the problem details
 */
export function createProblem(
  answer: Omit<RefusedAnswer, 'kind' | 'stages'>,
  requestId: string | null,
): Problem {
  return {
    type: `urn:parsleylift:problem:${answer.code}`,
    title: answer.code.replaceAll('-', ' '),
    status: getHttpStatus(answer.code),
    detail: answer.detail,
    code: answer.code,
    notRun: answer.notRun,
    retryAfterMs: answer.retryAfterMs,
    costMicros: answer.costMicros,
    requestId,
  };
}
