/** Why an upstream is taken for cold. */
export const COLD_REASON = {
  /** This host has not heard of it before. */
  firstContact: 'firstContact',
  /** An answer or a report came from another incarnation. */
  newIncarnation: 'newIncarnation',
  /** Its uptime fell although its incarnation stayed. */
  uptimeFell: 'uptimeFell',
  /** It answered again after connections had failed, and did not show its old incarnation. */
  reconnected: 'reconnected',
  /** The first answers after a pause were much slower than before. */
  slowAnswers: 'slowAnswers',
  /** A connection broke while it ran an attempt. */
  crashed: 'crashed',
  /** Connections could not be made. */
  unreachable: 'unreachable',
  /** It refused work while it was cold. */
  refused: 'refused',
  /** Operators have put it back into service. */
  returned: 'returned',
} as const;

/** Why an upstream is taken for cold. */
export type ColdReason = typeof COLD_REASON[keyof typeof COLD_REASON];
