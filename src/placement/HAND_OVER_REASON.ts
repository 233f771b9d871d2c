/** Reasons why a placement coordinator hands its requests over to another one. */
export const HAND_OVER_REASON = {
  /** Its host stops. */
  leaving: 'leaving',
  /** Its host reaches no upstream. */
  cutOff: 'cut-off',
} as const;

/** A member of {@link HAND_OVER_REASON}. */
export type HandOverReason = typeof HAND_OVER_REASON[keyof typeof HAND_OVER_REASON];
