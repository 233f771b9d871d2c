import type { JobPiece, PieceRepeatReason } from './PlacementJob.ts';

/**
 * @param piece - a piece that has to be made, or made again
 * @param reason - why; null when it was not sent
 */
export function resetPiece(piece: JobPiece, reason: PieceRepeatReason | null): void {
  piece.state = 'waiting';
  piece.handle = null;
  piece.makerId = null;
  piece.repeatReason = reason ?? piece.repeatReason;
}
