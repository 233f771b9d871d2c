import type { PlannedFault } from './SoakFault.ts';
import { SOAK_PROFILE } from './SOAK_PROFILE.ts';
import type { SoakRunOptions } from './SoakRun.ts';

/** A run that has violated a promise in the past. */
export interface RegressionRun extends Omit<SoakRunOptions, 'folder' | 'network'> {
  /** The promise that was violated, and why. */
  readonly cause: string;
  /** Whether it is short enough for every test run; the others are run manually. */
  readonly isShort: boolean;
}

const RATIO = 0.2;
const WINDOW_MS = 10_000;
const SIX_HOSTS = {
  hostCount: 6,
  requestsPerSecond: 4,
  callerRetries: 1,
  bounds: { ratio: RATIO, slack: 52, windowMs: WINDOW_MS },
  profile: SOAK_PROFILE.repeats,
  faultPeriodMs: 25_000,
  recoveryMs: 9_000,
  hasCrashingRequests: false,
  isShort: false,
} as const;
const EIGHT_HOSTS = {
  ...SIX_HOSTS, hostCount: 8, bounds: { ratio: RATIO, slack: 56, windowMs: WINDOW_MS },
} as const;
const UNBOUNDED_PIECE_RETRIES = 'repeats: retries of pieces were not bounded';
const CALLER_QUEUE = 'ended: requests waited in the queue of the soak caller itself';
const STALE_UPSTREAM_ENTRY = 'recovered: the soak left the old entry of a restarted upstream';

const STALE_LIMIT = 'recovered: a host kept a lifted limit because only other hosts were notified';

const OLDER_CONFIGURATION = 'configuration: the host that served a request was behind its taker';

const DELAYED_ARRIVALS = 'repeats: delayed retries arrived together with those of the next window';

/**
 * Creates a plan in which a pool is suspended and then refuses, so that everything sent to it
 * meanwhile arrives together.
 *
 * @param atMs - when the suspension begins
 * @param holdMs - duration of the suspension
 * @param refuseMs - how long the pool refuses afterwards
 * @returns the faults
 */
function createHeldPoolPlan(atMs: number, holdMs: number, refuseMs: number): PlannedFault[] {
  const targetNumber = 0;
  return [
    {
      atMs, durationMs: holdMs, targetNumber, fault: { kind: 'pool', how: 'hold' },
    },
    {
      atMs: atMs + holdMs,
      durationMs: refuseMs,
      targetNumber,
      fault: { kind: 'pool', how: 'refuse' },
    },
  ];
}

/** Every run that has ever failed, with its options. */
export const REGRESSION_RUNS: readonly RegressionRun[] = [
  {
    ...SIX_HOSTS,
    seed: 25,
    hostCount: 3,
    requestsPerSecond: 10,
    bounds: { ratio: RATIO, slack: 20, windowMs: WINDOW_MS },
    faultPeriodMs: 4_000,
    recoveryMs: 7_500,
    cause: UNBOUNDED_PIECE_RETRIES,
    isShort: true,
  },
  {
    ...SIX_HOSTS,
    seed: 1,
    hostCount: 3,
    requestsPerSecond: 10,
    callerRetries: 0,
    bounds: { ratio: RATIO, slack: 12, windowMs: 2_000 },
    plan: createHeldPoolPlan(3_000, 1_500, 3_500),
    recoveryMs: 7_500,
    cause: DELAYED_ARRIVALS,
    isShort: true,
  },
  {
    ...SIX_HOSTS,
    seed: 1,
    callerRetries: 0,
    plan: createHeldPoolPlan(12_000, 4_000, 13_000),
    cause: DELAYED_ARRIVALS,
  },
  { ...SIX_HOSTS, seed: 600, cause: UNBOUNDED_PIECE_RETRIES },
  { ...EIGHT_HOSTS, seed: 700, cause: UNBOUNDED_PIECE_RETRIES },
  { ...EIGHT_HOSTS, seed: 702, cause: UNBOUNDED_PIECE_RETRIES },
  {
    ...EIGHT_HOSTS,
    seed: 500,
    requestsPerSecond: 15,
    callerRetries: 4,
    cause: `${UNBOUNDED_PIECE_RETRIES}; ${CALLER_QUEUE}`,
  },
  {
    ...EIGHT_HOSTS,
    seed: 300,
    requestsPerSecond: 20,
    callerRetries: 4,
    profile: SOAK_PROFILE.all,
    faultPeriodMs: 12_000,
    cause: UNBOUNDED_PIECE_RETRIES,
  },
  {
    ...EIGHT_HOSTS,
    seed: 303,
    requestsPerSecond: 20,
    callerRetries: 4,
    profile: SOAK_PROFILE.all,
    faultPeriodMs: 12_000,
    cause: CALLER_QUEUE,
  },
  {
    ...SIX_HOSTS,
    seed: 5,
    requestsPerSecond: 10,
    callerRetries: 2,
    profile: SOAK_PROFILE.all,
    faultPeriodMs: 12_000,
    cause: STALE_UPSTREAM_ENTRY,
  },
  {
    ...SIX_HOSTS,
    seed: 2704,
    requestsPerSecond: 8,
    callerRetries: 1,
    bounds: { ratio: RATIO, slack: 50, windowMs: WINDOW_MS },
    profile: SOAK_PROFILE.limits,
    faultPeriodMs: 30_000,
    cause: STALE_LIMIT,
  },
  {
    ...SIX_HOSTS,
    seed: 3,
    hostCount: 4,
    requestsPerSecond: 10,
    callerRetries: 2,
    bounds: { ratio: RATIO, slack: 50, windowMs: WINDOW_MS },
    profile: SOAK_PROFILE.configurations,
    faultPeriodMs: 20_000,
    cause: OLDER_CONFIGURATION,
  },
];
