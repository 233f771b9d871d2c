import { isSentAlone, type JobPiece } from './PlacementJob.ts';

/** Pieces of one stage of a request that are planned together. */
export interface PieceSelection {
  readonly pieces: readonly JobPiece[];
  /** Whether they share a call with no other piece. */
  readonly needsOwnCall: boolean;
}

/**
 * Separates the pieces that need a call of their own from those that may share one.
 *
 * @param pieces - waiting pieces of one stage of a request
 * @returns the pieces that may share a call, and each of the others by itself
 */
export function splitPiecesByCall(pieces: readonly JobPiece[]): PieceSelection[] {
  const shared = pieces.filter((piece) => !isSentAlone(piece));
  const alone = pieces.filter((piece) => isSentAlone(piece));
  return [
    ...(shared.length > 0 ? [{ pieces: shared, needsOwnCall: false }] : []),
    ...alone.map((piece) => ({ pieces: [piece], needsOwnCall: true })),
  ];
}
