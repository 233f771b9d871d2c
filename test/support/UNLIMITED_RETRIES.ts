import type { PieceRetryBudget } from '../../src/placement/PieceRetryBudget.ts';

/** Lets tests of other matters send pieces again as often as they like. */
export const UNLIMITED_RETRIES: PieceRetryBudget = {
  recordSent: () => {},
  recordAnswered: () => {},
  getRetriesLeft: () => Infinity,
};
