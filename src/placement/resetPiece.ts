import type { JobPiece, PieceRetryReason } from './PlacementJob.ts';

/**
 * @param piece - a piece that has to be made, or made again
 * @param reason - why; null when it was not sent
 */
export function resetPiece(piece: JobPiece, reason: PieceRetryReason | null): void {
  piece.state = 'waiting';
  piece.handle = null;
  piece.makerId = null;
  piece.retryReason = reason ?? piece.retryReason;
}
