import { POOL_KIND, type PoolRecord } from '../../src/configuration/records/PoolRecord.ts';
import type { StageRecord } from '../../src/configuration/records/PipelineRecord.ts';
import type { DeployedAccount, DeployedPool } from './DeploymentDescription.ts';

const ENGINE_POOL_ID = 'engine';
const ENGINE_FIRST_TOKEN_MS = 40;
const ENGINE_TOKEN_MS = 4;
const ENGINE_TOKEN_COUNT = 32;
const ENGINE_TOKEN_PRICE_MICROS = 20;
const STAGE_MS = 8;
const STAGE_PRICE_MICROS = 50;
const SERVICE_MS = 10;
const SERVICE_PRICE_MICROS = 500;
const COLD_CONCURRENCY = 2;
const WARMUP_MS = 10_000;
const STAGE_POOL_SIZE = 3;

/** The stages that every pipeline has. */
export const COMMON_STAGES = {
  encode: {
    id: 'encode',
    poolId: 'encoder',
    repeatable: true,
    expectedMs: STAGE_MS,
    expectedCostMicros: STAGE_PRICE_MICROS,
  },
  retrieve: {
    id: 'retrieve',
    poolId: 'retriever',
    repeatable: true,
    expectedMs: STAGE_MS,
    expectedCostMicros: STAGE_PRICE_MICROS,
  },
  rerank: {
    id: 'rerank',
    poolId: 'reranker',
    repeatable: true,
    expectedMs: STAGE_MS,
    expectedCostMicros: STAGE_PRICE_MICROS,
  },
  generate: {
    id: 'generate',
    poolId: ENGINE_POOL_ID,
    repeatable: true,
    expectedMs: ENGINE_FIRST_TOKEN_MS + ENGINE_TOKEN_COUNT * ENGINE_TOKEN_MS,
    expectedCostMicros: ENGINE_TOKEN_COUNT * ENGINE_TOKEN_PRICE_MICROS,
  },
} as const satisfies Record<string, StageRecord>;

/**
 * Creates a stage that calls a plain service.
 *
 * @param id - the stage
 * @param poolId - the service that it calls
 * @param repeatable - whether a second call has no further effect
 * @returns the stage
 */
export function createServiceStage(id: string, poolId: string, repeatable: boolean): StageRecord {
  return {
    id,
    poolId,
    repeatable,
    expectedMs: SERVICE_MS,
    expectedCostMicros: SERVICE_PRICE_MICROS,
  };
}

function createPoolRecord(
  id: string,
  kind: PoolRecord['kind'],
  maxConcurrency: number,
): PoolRecord {
  return {
    id,
    kind,
    maxConcurrency,
    coldConcurrency: COLD_CONCURRENCY,
    warmupMs: WARMUP_MS,
    checksFencing: kind === POOL_KIND.engine,
  };
}

/**
 * Creates the pool of model engines.
 *
 * @param upstreamCount - number of engines
 * @returns the pool
 */
export function createEnginePool(upstreamCount: number): DeployedPool {
  const capacity = 16;
  return {
    record: createPoolRecord(ENGINE_POOL_ID, POOL_KIND.engine, capacity),
    upstreamCount,
    standinOptions: {
      capacity,
      coldCapacity: COLD_CONCURRENCY,
      warmupMs: WARMUP_MS,
      serviceMs: ENGINE_FIRST_TOKEN_MS,
      tokenMs: ENGINE_TOKEN_MS,
      tokenCount: ENGINE_TOKEN_COUNT,
      priceMicros: ENGINE_TOKEN_PRICE_MICROS,
    },
  };
}

/**
 * Creates a pool of encoders, retrievers or rerankers.
 *
 * @param id - the pool
 * @returns the pool
 */
export function createStagePool(id: string): DeployedPool {
  const capacity = 32;
  return {
    record: createPoolRecord(id, POOL_KIND.stagePool, capacity),
    upstreamCount: STAGE_POOL_SIZE,
    standinOptions: {
      capacity,
      coldCapacity: COLD_CONCURRENCY,
      warmupMs: WARMUP_MS,
      serviceMs: STAGE_MS,
      priceMicros: STAGE_PRICE_MICROS,
    },
  };
}

/**
 * Creates the pool of a plain service.
 *
 * @param id - the service
 * @param upstreamCount - number of its upstreams
 * @returns the pool
 */
export function createServicePool(id: string, upstreamCount: number): DeployedPool {
  const capacity = 32;
  return {
    record: createPoolRecord(id, POOL_KIND.service, capacity),
    upstreamCount,
    standinOptions: {
      capacity,
      coldCapacity: COLD_CONCURRENCY,
      warmupMs: WARMUP_MS,
      serviceMs: SERVICE_MS,
      priceMicros: SERVICE_PRICE_MICROS,
    },
  };
}

/**
 * Creates a client account without a cost ceiling.
 *
 * @param id - the account
 * @param weight - its share of a contended pool, relative to the others
 * @returns the account
 */
export function createAccount(id: string, weight: number): DeployedAccount {
  return { id, weight, requestCostCeilingMicros: 0 };
}
