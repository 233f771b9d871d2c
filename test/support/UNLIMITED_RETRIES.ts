import type { PieceRetryBudget } from '../../src/placement/PieceRetryBudget.ts';

/** Retry budget without a bound, for tests that don't concern retries. */
export const UNLIMITED_RETRIES: PieceRetryBudget = {
  recordSent: () => {},
  recordAnswered: () => {},
  getRetriesLeft: () => Infinity,
};
