import type { Finding } from '../settings/Finding.ts';
import { OPERATOR_PROBLEM_STATUS, type OperatorProblemCode } from './OPERATOR_PROBLEM.ts';

/** Optional members of a problem in addition to those of RFC 9457. */
export interface OperatorProblemMembers {
  readonly findings?: readonly Finding[];
  readonly differences?: readonly string[];
  readonly baseVersion?: number;
  readonly currentVersion?: number;
  readonly isOutcomeUnknown?: boolean;
  readonly retryAfterMs?: number;
}

/** Problem details (RFC 9457) that the operator API returns. */
export interface OperatorProblem extends OperatorProblemMembers {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly code: OperatorProblemCode;
}

/** Error that makes the operator API answer a call with a problem. */
export class OperatorProblemError extends Error {
  override readonly name = 'OperatorProblemError';

  readonly problem: OperatorProblem;

  /**
   * @param code - stable code of the problem
   * @param detail - human-readable description of this occurrence
   * @param members - machine-readable members
   */
  constructor(code: OperatorProblemCode, detail: string, members: OperatorProblemMembers = {}) {
    super(detail);
    this.problem = {
      type: `urn:parsleylift:problem:${code}`,
      title: code.replaceAll('-', ' '),
      status: OPERATOR_PROBLEM_STATUS[code],
      detail,
      code,
      ...members,
    };
  }
}
