import type { PlacementRates } from '../../src/placement/PlacementRates.ts';

/** Lets tests of other matters send as often as they like. */
export const UNLIMITED_RATES: PlacementRates = {
  isUnlimited: true,
  isLimited: () => false,
  canTake: () => true,
  tryTake: () => true,
  canTakeCommon: () => false,
  tryTakeCommon: () => false,
  getRatePerSecond: () => Infinity,
  getCommonWaitMs: () => 0,
  describeLimits: () => [],
  takeReports: () => {},
};
