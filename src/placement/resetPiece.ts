import type { JobPiece, PieceRetryReason } from './PlacementJob.ts';

/**
 * Sets a piece back to waiting.
 *
 * @param piece - a piece that has to be sent, or retried
 * @param reason - why it is retried; null, which keeps an earlier reason, if it was not sent
 */
export function resetPiece(piece: JobPiece, reason: PieceRetryReason | null): void {
  piece.state = 'waiting';
  piece.handle = null;
  piece.makerId = null;
  piece.retryReason = reason ?? piece.retryReason;
}
