import type { RandomSource } from '../../src/lib/RandomSource.ts';

/** A fault of the soak, by the component it affects. */
export type SoakFault =
  | { readonly kind: 'host'; readonly how: 'terminate' | 'kill' | 'pause' | 'reload' }
  | { readonly kind: 'allHosts'; readonly how: 'terminate' | 'kill' }
  | {
    readonly kind: 'upstream';
    readonly how: 'crash' | 'drain' | 'hold' | 'leave' | 'backOff' | 'restart';
  }
  | {
    readonly kind: 'pool';
    readonly how: 'refuse' | 'fail' | 'hang' | 'break' | 'hold' | 'backOff';
  }
  | {
    readonly kind: 'connection';
    readonly how: 'delay' | 'silent' | 'cutAnswers' | 'resetAnswers' | 'reset';
    readonly target: 'upstream' | 'store';
  }
  | { readonly kind: 'store'; readonly how: 'down' | 'answersLost' | 'slow' | 'forget' }
  /** The store is away for a moment and comes back from a copy of some seconds ago. */
  | { readonly kind: 'storeCopy' }
  /** Upstreams advertise a limit for some time; a later limit replaces an earlier one. */
  | {
    readonly kind: 'limit';
    readonly scope: 'upstream' | 'pool' | 'oneOfEachPool' | 'all';
    readonly requestsPerSecond: number;
  }
  | { readonly kind: 'manifest' };

/** A fault with its start and duration. */
export interface PlannedFault {
  readonly atMs: number;
  readonly durationMs: number;
  /** Number whose remainder selects the affected host or upstream. */
  readonly targetNumber: number;
  readonly fault: SoakFault;
}

const FAULTS: readonly SoakFault[] = [
  { kind: 'host', how: 'terminate' },
  { kind: 'host', how: 'kill' },
  { kind: 'host', how: 'pause' },
  { kind: 'host', how: 'reload' },
  { kind: 'upstream', how: 'crash' },
  { kind: 'upstream', how: 'drain' },
  { kind: 'upstream', how: 'hold' },
  { kind: 'allHosts', how: 'terminate' },
  { kind: 'allHosts', how: 'kill' },
  { kind: 'pool', how: 'refuse' },
  { kind: 'pool', how: 'fail' },
  { kind: 'pool', how: 'hang' },
  { kind: 'pool', how: 'break' },
  { kind: 'pool', how: 'hold' },
  { kind: 'connection', how: 'delay', target: 'upstream' },
  { kind: 'connection', how: 'silent', target: 'upstream' },
  { kind: 'connection', how: 'cutAnswers', target: 'upstream' },
  { kind: 'connection', how: 'reset', target: 'upstream' },
  { kind: 'connection', how: 'silent', target: 'store' },
  { kind: 'connection', how: 'reset', target: 'store' },
  { kind: 'store', how: 'down' },
  { kind: 'store', how: 'answersLost' },
  { kind: 'store', how: 'slow' },
  { kind: 'store', how: 'forget' },
  { kind: 'manifest' },
];
/** Faults that cause retries, and faults that make hosts lose their record of retries. */
const REPEAT_FAULTS: readonly SoakFault[] = [
  { kind: 'pool', how: 'refuse' },
  { kind: 'pool', how: 'fail' },
  { kind: 'pool', how: 'break' },
  { kind: 'pool', how: 'hang' },
  { kind: 'pool', how: 'hold' },
  { kind: 'upstream', how: 'hold' },
  { kind: 'upstream', how: 'crash' },
  { kind: 'connection', how: 'reset', target: 'upstream' },
  { kind: 'allHosts', how: 'terminate' },
  { kind: 'allHosts', how: 'kill' },
  { kind: 'host', how: 'kill' },
  { kind: 'host', how: 'pause' },
  { kind: 'store', how: 'down' },
  { kind: 'store', how: 'slow' },
  { kind: 'connection', how: 'silent', target: 'store' },
];

/** Upstreams that leave or ask for a back-off, and faults that make hosts forget the notice. */
const CLOSURE_FAULTS: readonly SoakFault[] = [
  { kind: 'upstream', how: 'leave' },
  { kind: 'upstream', how: 'leave' },
  { kind: 'upstream', how: 'backOff' },
  { kind: 'upstream', how: 'backOff' },
  { kind: 'pool', how: 'backOff' },
  { kind: 'upstream', how: 'crash' },
  { kind: 'upstream', how: 'drain' },
  { kind: 'pool', how: 'hang' },
  { kind: 'connection', how: 'reset', target: 'upstream' },
  { kind: 'connection', how: 'silent', target: 'store' },
  { kind: 'store', how: 'down' },
  { kind: 'store', how: 'forget' },
  { kind: 'host', how: 'kill' },
  { kind: 'manifest' },
];

/** Upstreams that advertise changing limits, and faults that make hosts forget them. */
const LIMIT_FAULTS: readonly SoakFault[] = [
  { kind: 'limit', scope: 'upstream', requestsPerSecond: 0 },
  { kind: 'limit', scope: 'upstream', requestsPerSecond: 0.5 },
  { kind: 'limit', scope: 'upstream', requestsPerSecond: 1 },
  { kind: 'limit', scope: 'upstream', requestsPerSecond: 1 },
  { kind: 'limit', scope: 'upstream', requestsPerSecond: 3.7 },
  { kind: 'limit', scope: 'pool', requestsPerSecond: 1 },
  { kind: 'limit', scope: 'pool', requestsPerSecond: 4 },
  { kind: 'limit', scope: 'pool', requestsPerSecond: 500 },
  { kind: 'limit', scope: 'oneOfEachPool', requestsPerSecond: 2 },
  { kind: 'upstream', how: 'crash' },
  { kind: 'upstream', how: 'backOff' },
  { kind: 'host', how: 'terminate' },
  { kind: 'host', how: 'kill' },
  { kind: 'host', how: 'pause' },
  { kind: 'connection', how: 'reset', target: 'upstream' },
  { kind: 'connection', how: 'silent', target: 'store' },
  { kind: 'store', how: 'down' },
  { kind: 'manifest' },
];

/** A store that comes back from older copies, and changes that the copies lack. */
const COPY_FAULTS: readonly SoakFault[] = [
  { kind: 'storeCopy' },
  { kind: 'storeCopy' },
  { kind: 'storeCopy' },
  { kind: 'store', how: 'answersLost' },
  { kind: 'store', how: 'forget' },
  { kind: 'upstream', how: 'crash' },
  { kind: 'upstream', how: 'crash' },
  { kind: 'upstream', how: 'drain' },
  { kind: 'upstream', how: 'leave' },
  { kind: 'allHosts', how: 'terminate' },
  { kind: 'allHosts', how: 'kill' },
  { kind: 'host', how: 'terminate' },
  { kind: 'host', how: 'kill' },
  { kind: 'host', how: 'pause' },
  { kind: 'connection', how: 'silent', target: 'store' },
  { kind: 'connection', how: 'reset', target: 'upstream' },
  { kind: 'manifest' },
  { kind: 'manifest' },
];

/** Whatever ends answers early; upstreams mark no ends meanwhile. */
const ENDING_FAULTS: readonly SoakFault[] = [
  { kind: 'connection', how: 'resetAnswers', target: 'upstream' },
  { kind: 'connection', how: 'resetAnswers', target: 'upstream' },
  { kind: 'connection', how: 'resetAnswers', target: 'upstream' },
  { kind: 'connection', how: 'reset', target: 'upstream' },
  { kind: 'connection', how: 'silent', target: 'store' },
  { kind: 'upstream', how: 'restart' },
  { kind: 'upstream', how: 'restart' },
  { kind: 'upstream', how: 'restart' },
  { kind: 'upstream', how: 'crash' },
  { kind: 'upstream', how: 'drain' },
  { kind: 'host', how: 'kill' },
  { kind: 'host', how: 'kill' },
  { kind: 'host', how: 'terminate' },
  { kind: 'host', how: 'pause' },
  { kind: 'allHosts', how: 'kill' },
];

/**
 * Sets of faults to draw from. `all` keeps its original faults, so that its seeds always draw the
 * same ones; `repeats` has faults that cause retries; `closures` has upstreams that leave or ask
 * for a back-off; `limits` has upstreams that advertise a limit; `copies` has a store that comes
 * back from older copies; `endings` has whatever ends answers early that have no mark at
 * their end.
 */
export const SOAK_PROFILE = {
  all: 'all',
  repeats: 'repeats',
  closures: 'closures',
  limits: 'limits',
  copies: 'copies',
  endings: 'endings',
} as const;

/** A member of {@link SOAK_PROFILE}. */
export type SoakProfile = typeof SOAK_PROFILE[keyof typeof SOAK_PROFILE];

const PROFILE_FAULTS: Readonly<Record<SoakProfile, readonly SoakFault[]>> = {
  all: FAULTS,
  repeats: REPEAT_FAULTS,
  closures: CLOSURE_FAULTS,
  limits: LIMIT_FAULTS,
  copies: COPY_FAULTS,
  endings: ENDING_FAULTS,
};

const MIN_DURATION_MS = 300;
const DURATION_SPREAD_MS = 2_500;
/** Store faults last longer so that leases expire, pool faults so that retries accumulate. */
const STORE_DURATION_FACTOR = 3;
const POOL_DURATION_FACTOR = 2;
/** An upstream that has announced that it leaves runs for longer than its drain may take. */
const LEAVING_DURATION_FACTOR = 3;
/** A limit lasts longer than the time in which hosts have to know it. */
const LIMIT_DURATION_FACTOR = 6;
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
