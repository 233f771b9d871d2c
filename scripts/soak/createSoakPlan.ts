import type { RandomSource } from '../../src/lib/RandomSource.ts';
import { PROFILE_FAULTS } from './PROFILE_FAULTS.ts';
import type { PlannedFault, SoakFault } from './SoakFault.ts';
import { SOAK_PROFILE, type SoakProfile } from './SOAK_PROFILE.ts';

const MIN_DURATION_MS = 300;
const DURATION_SPREAD_MS = 2_500;
/** Store faults last longer so that leases expire, pool faults so that retries accumulate. */
const STORE_DURATION_FACTOR = 3;
const POOL_DURATION_FACTOR = 2;
/** An upstream that has announced that it leaves runs for longer than its drain may take. */
const LEAVING_DURATION_FACTOR = 3;
/** A limit lasts longer than the time in which hosts have to know it. */
const LIMIT_DURATION_FACTOR = 6;
/** A lost path lasts longer than the time in which a configuration has to be in force. */
const LOST_PATH_DURATION_FACTOR = 4;
const MEAN_GAP_MS = 600;
/** Each fault exempts hosts for seconds; a shorter gap would leave nothing to check. */
const MEAN_LIMIT_GAP_MS = 1_800;
const MAX_TARGET_NUMBER = 1_000;

function getDurationFactor(fault: SoakFault): number {
  switch (fault.kind) {
    case 'upstream':
      return fault.how === 'leave' ? LEAVING_DURATION_FACTOR : 1;
    case 'store':
      return STORE_DURATION_FACTOR;
    case 'pool':
      return POOL_DURATION_FACTOR;
    case 'strandedHost':
    case 'storePath':
      return LOST_PATH_DURATION_FACTOR;
    case 'limit':
      return LIMIT_DURATION_FACTOR;
    default:
      return 1;
  }
}

/**
 * Draws a random plan of overlapping faults.
 *
 * @param random - random source created from the seed
 * @param lengthMs - period in which faults begin
 * @param profile - set of faults to draw from
 * @returns the faults, sorted by start
 */
export function createSoakPlan(
  random: RandomSource,
  lengthMs: number,
  profile: SoakProfile,
): PlannedFault[] {
  const faults = PROFILE_FAULTS[profile];
  const meanGapMs = profile === SOAK_PROFILE.limits ? MEAN_LIMIT_GAP_MS : MEAN_GAP_MS;
  const planned: PlannedFault[] = [];
  let atMs = 0;
  while (atMs < lengthMs) {
    const fault = faults[Math.floor(random.getFraction() * faults.length)];
    if (fault !== undefined) {
      planned.push({
        atMs,
        durationMs: (MIN_DURATION_MS + random.getFraction() * DURATION_SPREAD_MS)
          * getDurationFactor(fault),
        targetNumber: Math.floor(random.getFraction() * MAX_TARGET_NUMBER),
        fault,
      });
    }
    atMs += -Math.log(1 - random.getFraction()) * meanGapMs;
  }
  return planned;
}
