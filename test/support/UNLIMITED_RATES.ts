import type { PlacementRates } from '../../src/placement/PlacementRates.ts';

/** Lets tests of other matters send as often as they like. */
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
