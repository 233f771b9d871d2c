import type { PlacementRates } from '../../src/placement/PlacementRates.ts';

/** Send rates without limits, for tests that don't concern rate limits. */
export const UNLIMITED_RATES: PlacementRates = {
  isUnlimited: true,
  isLimited: () => false,
  canTakePermit: () => true,
  tryTakePermit: () => true,
  canTakeSharedPermit: () => false,
  tryTakeSharedPermit: () => false,
  getRatePerSecond: () => Infinity,
  getSharedWaitMs: () => 0,
  describeLimits: () => [],
  applyReports: () => {},
};
