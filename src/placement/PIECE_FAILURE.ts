/** Reasons why a piece of an answered call has no result. */
export const PIECE_FAILURE = {
  /** Its deadline passed before the upstream ran it. */
  late: 'late',
  /** One of its inputs does not exist any more. */
  inputGone: 'inputGone',
  /** The upstream has no memory for its result. */
  noRoom: 'noRoom',
  failed: 'failed',
} as const;

/** A member of {@link PIECE_FAILURE}. */
export type PieceFailure = typeof PIECE_FAILURE[keyof typeof PIECE_FAILURE];
