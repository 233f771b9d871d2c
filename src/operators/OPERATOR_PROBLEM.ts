/** Stable codes of the problems that the operator API returns. */
export const OPERATOR_PROBLEM = {
  /** The operator key is missing or wrong. */
  unauthenticated: 'operator-unauthenticated',
  /** The validation of the intent has findings. */
  intentInvalid: 'intent-invalid',
  /** The HTTP request is not valid. */
  inputInvalid: 'input-invalid',
  /** The configuration changed after the plan was made, or the plan has conflicts. */
  planConflict: 'plan-conflict',
  /** The plan is not known or has expired. */
  planUnknown: 'plan-unknown',
  /** This host does not know the request. */
  requestUnknown: 'request-unknown',
  /** The platform can't be reached, so that no plan can be accepted. */
  platformUnavailable: 'platform-unavailable',
  /** An unexpected error occurred in the host. */
  internal: 'internal',
} as const;

/** Stable code of a problem that the operator API returns. */
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
