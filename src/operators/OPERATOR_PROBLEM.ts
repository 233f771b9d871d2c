/** Stable codes of the operators' problems. */
export const OPERATOR_PROBLEM = {
  /** No operator key, or another one. */
  unauthenticated: 'operator-unauthenticated',
  /** The intent has findings. */
  intentInvalid: 'intent-invalid',
  /** The request itself is not valid. */
  inputInvalid: 'input-invalid',
  /** Another change came first, or the plan has conflicts. */
  planConflict: 'plan-conflict',
  /** The plan is not known, or expired. */
  planUnknown: 'plan-unknown',
  /** This host does not know the request. */
  requestUnknown: 'request-unknown',
  /** The platform can't be reached, so nothing can be accepted now. */
  platformUnavailable: 'platform-unavailable',
  /** The host failed in a way that it does not expect. */
  internal: 'internal',
} as const;

/** A stable code of an operators' problem. */
export type OperatorProblemCode = typeof OPERATOR_PROBLEM[keyof typeof OPERATOR_PROBLEM];

/** HTTP status of each code. */
export const OPERATOR_PROBLEM_STATUS: Readonly<Record<OperatorProblemCode, number>> = {
  [OPERATOR_PROBLEM.unauthenticated]: 401,
  [OPERATOR_PROBLEM.intentInvalid]: 400,
  [OPERATOR_PROBLEM.inputInvalid]: 400,
  [OPERATOR_PROBLEM.planConflict]: 409,
  [OPERATOR_PROBLEM.planUnknown]: 404,
  [OPERATOR_PROBLEM.requestUnknown]: 404,
  [OPERATOR_PROBLEM.platformUnavailable]: 503,
  [OPERATOR_PROBLEM.internal]: 500,
};
