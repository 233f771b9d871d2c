import { SOAK_PROFILE, type PlannedFault } from './createSoakPlan.ts';
import type { SoakRunOptions } from './SoakRun.ts';

/** A run that broke a promise once. */
export interface RegressionRun extends Omit<SoakRunOptions, 'folder' | 'network'> {
  /** What was broken, and why. */
  readonly cause: string;
  /** Whether it is short enough for every test run; the others are run by hand. */
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
  faultMs: 25_000,
  calmMs: 9_000,
  isCrashing: false,
  isShort: false,
} as const;
const EIGHT_HOSTS = {
  ...SIX_HOSTS, hostCount: 8, bounds: { ratio: RATIO, slack: 56, windowMs: WINDOW_MS },
} as const;
const PIECES = 'repeats: pieces of stages were sent again without bound';
const QUEUE = 'ended: requests waited in the queue of the soak\'s own caller';
const ENTRY = 'recovered: the soak left the entry of an upstream behind that had started again';

const STALE_LIMIT = 'recovered: a host kept a limit that was lifted, since only others heard of it';

const HELD_UP = 'repeats: those held up on the way arrived beside those of the next window';

/**
 * A pool stands still, and then refuses: what was sent to it meanwhile arrives together.
 *
 * @param atMs - when it stands still
 * @param holdMs - for how long
 * @param refuseMs - how long it refuses after that
 * @returns the faults
 */
function createHeldUpPlan(atMs: number, holdMs: number, refuseMs: number): PlannedFault[] {
  const pick = 0;
  return [
    {
      atMs, durationMs: holdMs, pick, fault: { kind: 'pool', how: 'hold' },
    },
    {
      atMs: atMs + holdMs, durationMs: refuseMs, pick, fault: { kind: 'pool', how: 'refuse' },
    },
  ];
}

/** Every run that ever failed, with what it was run with. */
export const REGRESSION_RUNS: readonly RegressionRun[] = [
  {
    ...SIX_HOSTS,
    seed: 25,
    hostCount: 3,
    requestsPerSecond: 10,
    bounds: { ratio: RATIO, slack: 20, windowMs: WINDOW_MS },
    faultMs: 4_000,
    calmMs: 7_500,
    cause: PIECES,
    isShort: true,
  },
  {
    ...SIX_HOSTS,
    seed: 1,
    hostCount: 3,
    requestsPerSecond: 10,
    callerRetries: 0,
    bounds: { ratio: RATIO, slack: 12, windowMs: 2_000 },
    plan: createHeldUpPlan(3_000, 1_500, 3_500),
    calmMs: 7_500,
    cause: HELD_UP,
    isShort: true,
  },
  {
    ...SIX_HOSTS,
    seed: 1,
    callerRetries: 0,
    plan: createHeldUpPlan(12_000, 4_000, 13_000),
    cause: HELD_UP,
  },
  { ...SIX_HOSTS, seed: 600, cause: PIECES },
  { ...EIGHT_HOSTS, seed: 700, cause: PIECES },
  { ...EIGHT_HOSTS, seed: 702, cause: PIECES },
  {
    ...EIGHT_HOSTS,
    seed: 500,
    requestsPerSecond: 15,
    callerRetries: 4,
    cause: `${PIECES}; ${QUEUE}`,
  },
  {
    ...EIGHT_HOSTS,
    seed: 300,
    requestsPerSecond: 20,
    callerRetries: 4,
    profile: SOAK_PROFILE.all,
    faultMs: 12_000,
    cause: PIECES,
  },
  {
    ...EIGHT_HOSTS,
    seed: 303,
    requestsPerSecond: 20,
    callerRetries: 4,
    profile: SOAK_PROFILE.all,
    faultMs: 12_000,
    cause: QUEUE,
  },
  {
    ...SIX_HOSTS,
    seed: 5,
    requestsPerSecond: 10,
    callerRetries: 2,
    profile: SOAK_PROFILE.all,
    faultMs: 12_000,
    cause: ENTRY,
  },
  {
    ...SIX_HOSTS,
    seed: 2704,
    requestsPerSecond: 8,
    callerRetries: 1,
    bounds: { ratio: RATIO, slack: 50, windowMs: WINDOW_MS },
    profile: SOAK_PROFILE.limits,
    faultMs: 30_000,
    cause: STALE_LIMIT,
  },
];
