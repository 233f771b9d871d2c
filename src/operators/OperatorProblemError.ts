import type { Finding } from '../settings/Finding.ts';
import { OPERATOR_PROBLEM_STATUS, type OperatorProblemCode } from './OPERATOR_PROBLEM.ts';

/** Members that a problem may carry beside those of RFC 9457. */
export interface OperatorProblemMembers {
  readonly findings?: readonly Finding[];
  readonly differences?: readonly string[];
  readonly baseVersion?: number;
  readonly currentVersion?: number;
  readonly isOutcomeUnknown?: boolean;
  readonly retryAfterMs?: number;
}

/** Problem details (RFC 9457) of the operators' HTTP face. */
export interface OperatorProblem extends OperatorProblemMembers {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly detail: string;
  readonly code: OperatorProblemCode;
}

/** Ends an operator's HTTP call with a problem. */
export class OperatorProblemError extends Error {
  override readonly name = 'OperatorProblemError';

  readonly problem: OperatorProblem;

  /**
   * @param code - the stable code
   * @param detail - what happened here, for people
   * @param members - more, for programs
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
