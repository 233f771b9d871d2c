/** Reasons for which an upstream is considered cold. */
export const COLD_REASON = {
  /** This host has no earlier answer or report of it. */
  firstContact: 'firstContact',
  /** An answer or a report came from another incarnation. */
  newIncarnation: 'newIncarnation',
  /** Its uptime decreased although its incarnation did not change. */
  uptimeFell: 'uptimeFell',
  /** It answered after failed connections without confirming its previous incarnation. */
  reconnected: 'reconnected',
  /** The first answers after an idle period were much slower than before. */
  slowAnswers: 'slowAnswers',
  /** Its connection broke during an attempt. */
  crashed: 'crashed',
  /** Connections to it could not be established. */
  unreachable: 'unreachable',
  /** It refused attempts while it was cold. */
  refused: 'refused',
  /** Operators have put it back into service. */
  returned: 'returned',
} as const;

/** Reason for which an upstream is considered cold. */
export type ColdReason = typeof COLD_REASON[keyof typeof COLD_REASON];
