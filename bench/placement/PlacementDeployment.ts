import type {
  BatchLimits, EngineLimits, RouteStage,
} from '../../src/directory/ServingConfiguration.ts';
import { toId, type PoolId } from '../../src/lib/ids.ts';

/** A simulated stage pool. */
export interface StagePoolModel {
  readonly id: PoolId;
  /** Upstreams in each failure domain. */
  readonly counts: readonly number[];
  readonly batch: BatchLimits;
}

/** Speed, limits and number of simulated engines. */
export interface EngineModelFigures {
  readonly limits: EngineLimits;
  /** Engines in each failure domain. */
  readonly counts: readonly number[];
  /** Prompt tokens that an engine prefills per millisecond. */
  readonly promptTokensPerMs: number;
  /** Time of one step, in which each running generation gets one token. */
  readonly stepMs: number;
  /** Time that each running generation adds to a step. */
  readonly stepMsPerRunning: number;
}

/** A class of requests with the same stages, targets and sizes. */
export interface RequestClass {
  readonly name: string;
  readonly perSecond: number;
  readonly priority: number;
  readonly onTimeMs: number;
  readonly deadlineMs: number;
  /** Worth of an answer on time; `lateWorth` is that of a late one. */
  readonly worth: number;
  readonly lateWorth: number;
  readonly stages: readonly RouteStage[];
  /** For each stage, the mean number of pieces and the share of requests that need the stage. */
  readonly pieces: readonly { readonly mean: number; readonly share: number }[];
  /** Prompt parts shared between requests: size in tokens and number of variants. */
  readonly sharedParts: readonly { readonly tokens: number; readonly variants: number }[];
  readonly ownTokens: number;
  readonly outputTokens: number;
}

/** A fleet on which generations are placed. */
export interface PlacementDeployment {
  readonly name: string;
  readonly domains: readonly string[];
  readonly stagePools: readonly StagePoolModel[];
  readonly engines: EngineModelFigures;
  readonly classes: readonly RequestClass[];
}

const RESULT_TTL_MS = 4_000;
const CALL_MS = 200;
const LARGE_RESULT_BYTES = 1_500_000;
const MIDDLE_RESULT_BYTES = 60_000;
const SMALL_RESULT_BYTES = 6_000;
const SHORT_RESULT_BYTES = 8_000;

const FETCH = toId<PoolId>('fetch');
const MATCH = toId<PoolId>('match');
const ENCODE = toId<PoolId>('encode');

function createPool(
  id: PoolId,
  counts: readonly number[],
  figures: { maxPieces: number; pieceMs: number; roomBytes: number },
): StagePoolModel {
  return {
    id,
    counts,
    batch: {
      callSlots: 1, callMs: CALL_MS, resultTtlMs: RESULT_TTL_MS, ...figures,
    },
  };
}

function createStage(poolId: PoolId, after: readonly number[], resultBytes: number): RouteStage {
  return { poolId, after, resultBytes };
}

/** Creates three classes: long and urgent, medium, and short with many output tokens. */
function createClasses(perSecond: number): RequestClass[] {
  const chain = (first: number): RouteStage[] => [
    createStage(FETCH, [], SHORT_RESULT_BYTES),
    createStage(MATCH, [first], MIDDLE_RESULT_BYTES),
    createStage(ENCODE, [first + 1], SMALL_RESULT_BYTES),
  ];
  const chainPieces = [{ mean: 1, share: 1 }, { mean: 4, share: 1 }, { mean: 10, share: 1 }];
  return [
    {
      name: 'long',
      perSecond: perSecond * 0.33,
      priority: 0,
      onTimeMs: 2_000,
      deadlineMs: 8_000,
      worth: 4.5,
      lateWorth: 0.67,
      stages: [createStage(FETCH, [], LARGE_RESULT_BYTES), ...chain(1)],
      pieces: [{ mean: 1.5, share: 0.4 }, ...chainPieces],
      sharedParts: [{ tokens: 2_500, variants: 4 }, { tokens: 3_800, variants: 200 }],
      ownTokens: 2_900,
      outputTokens: 50,
    },
    {
      name: 'middle',
      perSecond: perSecond * 0.4,
      priority: 1,
      onTimeMs: 2_500,
      deadlineMs: 6_000,
      worth: 1.1,
      lateWorth: 0.17,
      stages: chain(0),
      pieces: chainPieces,
      sharedParts: [{ tokens: 340, variants: 8 }, { tokens: 230, variants: 250 }],
      ownTokens: 1_800,
      outputTokens: 24,
    },
    {
      name: 'short',
      perSecond: perSecond * 0.27,
      priority: 2,
      onTimeMs: 1_800,
      deadlineMs: 15_000,
      worth: 0.5,
      lateWorth: 0.08,
      stages: [createStage(FETCH, [], LARGE_RESULT_BYTES)],
      pieces: [{ mean: 2.5, share: 0.7 }],
      sharedParts: [{ tokens: 100, variants: 4 }, { tokens: 70, variants: 120 }],
      ownTokens: 540,
      outputTokens: 280,
    },
  ];
}

/**
 * Creates three classes of one priority, as when the priority of client accounts overrides that of
 * routes. Two need the same chain of stages: one has a short target and few requests, the other one
 * a long target and many.
 */
function createUnequalClasses(perSecond: number): RequestClass[] {
  const chain = (first: number): RouteStage[] => [
    createStage(FETCH, [], SHORT_RESULT_BYTES),
    createStage(MATCH, [first], MIDDLE_RESULT_BYTES),
    createStage(ENCODE, [first + 1], SMALL_RESULT_BYTES),
  ];
  const chainPieces = [{ mean: 1, share: 1 }, { mean: 6, share: 1 }, { mean: 10, share: 1 }];
  return [
    {
      name: 'long prompt',
      perSecond: perSecond * 0.44,
      priority: 1,
      onTimeMs: 1_000,
      deadlineMs: 4_000,
      worth: 3.9,
      lateWorth: 0.23,
      stages: [createStage(FETCH, [], LARGE_RESULT_BYTES)],
      pieces: [{ mean: 2.5, share: 0.7 }],
      sharedParts: [{ tokens: 2_500, variants: 4 }, { tokens: 3_800, variants: 900 }],
      ownTokens: 2_900,
      outputTokens: 56,
    },
    {
      name: 'short target',
      perSecond: perSecond * 0.1,
      priority: 1,
      onTimeMs: 1_500,
      deadlineMs: 6_000,
      worth: 1,
      lateWorth: 0.15,
      stages: [createStage(FETCH, [], LARGE_RESULT_BYTES), ...chain(1)],
      pieces: [{ mean: 1.5, share: 0.4 }, ...chainPieces],
      sharedParts: [{ tokens: 100, variants: 40 }, { tokens: 70, variants: 500 }],
      ownTokens: 540,
      outputTokens: 280,
    },
    {
      name: 'long target',
      perSecond: perSecond * 0.46,
      priority: 1,
      onTimeMs: 4_000,
      deadlineMs: 6_000,
      worth: 0.64,
      lateWorth: 0.15,
      stages: chain(0),
      pieces: chainPieces,
      sharedParts: [{ tokens: 340, variants: 16 }, { tokens: 230, variants: 900 }],
      ownTokens: 1_800,
      outputTokens: 24,
    },
  ];
}

const ENGINE_SPEED = {
  limits: { slots: 64, memoryTokens: 320_000 },
  promptTokensPerMs: 42,
  stepMs: 5.5,
  stepMsPerRunning: 0.03,
};

/** Fleets like those that users run, and three that no user has. */
export const PLACEMENT_DEPLOYMENTS: readonly PlacementDeployment[] = [
  {
    name: 'small',
    domains: ['a', 'b', 'c'],
    stagePools: [
      createPool(FETCH, [1, 1, 1], { maxPieces: 6, pieceMs: 28, roomBytes: 13_500_000 }),
      createPool(MATCH, [2, 1, 1], { maxPieces: 10, pieceMs: 17, roomBytes: 1_400_000 }),
      createPool(ENCODE, [2, 1, 1], { maxPieces: 28, pieceMs: 6, roomBytes: 370_000 }),
    ],
    engines: { ...ENGINE_SPEED, counts: [3, 3, 2] },
    classes: createClasses(21),
  },
  {
    name: 'large',
    domains: ['a', 'b', 'c', 'd'],
    stagePools: [
      createPool(FETCH, [4, 3, 3, 3], { maxPieces: 16, pieceMs: 11, roomBytes: 36_000_000 }),
      createPool(MATCH, [3, 3, 3, 3], { maxPieces: 50, pieceMs: 3.4, roomBytes: 7_000_000 }),
      createPool(ENCODE, [4, 3, 3, 3], { maxPieces: 98, pieceMs: 1.8, roomBytes: 1_300_000 }),
    ],
    engines: { ...ENGINE_SPEED, counts: [25, 25, 24, 24] },
    classes: createClasses(220),
  },
  {
    name: 'uneven',
    domains: ['a', 'b'],
    stagePools: [
      createPool(FETCH, [5, 1], { maxPieces: 4, pieceMs: 50, roomBytes: 9_000_000 }),
      createPool(MATCH, [1, 3], { maxPieces: 24, pieceMs: 8, roomBytes: 4_000_000 }),
      createPool(ENCODE, [2, 2], { maxPieces: 40, pieceMs: 4, roomBytes: 600_000 }),
    ],
    engines: { ...ENGINE_SPEED, counts: [2, 4] },
    classes: createClasses(22),
  },
  {
    // Requests with a short target and with a long one need the same stages, in one priority class.
    name: 'unequal',
    domains: ['a', 'b', 'c'],
    stagePools: [
      createPool(FETCH, [5, 4, 4], { maxPieces: 19, pieceMs: 9, roomBytes: 48_000_000 }),
      createPool(MATCH, [4, 4, 3], { maxPieces: 46, pieceMs: 3.8, roomBytes: 6_000_000 }),
      createPool(ENCODE, [5, 4, 4], { maxPieces: 64, pieceMs: 2.7, roomBytes: 840_000 }),
    ],
    engines: {
      ...ENGINE_SPEED, limits: { slots: 12, memoryTokens: 400_000 }, counts: [33, 33, 32],
    },
    classes: createUnequalClasses(237),
  },
  {
    // The last stage has lost half of its upstreams, and its results fill the memory of the rest.
    name: 'scarce',
    domains: ['a', 'b', 'c'],
    stagePools: [
      createPool(FETCH, [2, 1, 1], { maxPieces: 9, pieceMs: 23, roomBytes: 18_000_000 }),
      createPool(MATCH, [2, 1, 1], { maxPieces: 21, pieceMs: 10, roomBytes: 2_400_000 }),
      createPool(ENCODE, [1, 1, 0], { maxPieces: 31, pieceMs: 6.6, roomBytes: 340_000 }),
    ],
    engines: { ...ENGINE_SPEED, counts: [3, 3, 2] },
    classes: createClasses(21),
  },
];
