import type { PieceRepeats } from '../../src/placement/PieceRepeats.ts';

/** Lets tests of other matters send pieces again as often as they like. */
export const UNLIMITED_REPEATS: PieceRepeats = {
  noteSent: () => {},
  noteAnswered: () => {},
  getLeft: () => Infinity,
};
