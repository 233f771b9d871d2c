import type { JobPiece } from './PlacementJob.ts';

/** @param piece - a piece that has to be made, or made again */
export function resetPiece(piece: JobPiece): void {
  piece.state = 'waiting';
  piece.handle = null;
  piece.makerId = null;
}
