import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import type { PipelineRecord } from '../configuration/records/PipelineRecord.ts';
import { getGammaCdf } from './getGammaCdf.ts';
import { getErlangC } from './getErlangC.ts';
import { getInServiceUpstreams } from './isInService.ts';
import type { PipelineAttainment, PipelineCost } from './Plan.ts';
import type { PipelineLoad } from './FleetState.ts';

const MS_PER_SECOND = 1000;

/** Coefficient of variation (deviation over mean) that service times are taken to have. */
const SERVICE_TIME_VARIATION = 0.5;

/** Work that arrives at a pool against what it can do. */
interface PoolDemand {
  readonly serverCount: number;
  /** Mean number of busy servers (offered load in erlangs). */
  readonly erlangs: number;
}

interface Moments {
  readonly mean: number;
  readonly variance: number;
}

function getPoolDemand(
  configuration: ConfigurationRecord,
  poolId: string,
  loads: readonly PipelineLoad[],
): PoolDemand {
  const pool = configuration.pools.find(({ id }) => id === poolId);
  const upstreamCount = getInServiceUpstreams(configuration, poolId).length;
  const erlangs = configuration.pipelines.reduce((sum, pipeline) => {
    const load = loads.find(({ pipelineId }) => pipelineId === pipeline.id);
    const busyMs = pipeline.stages
      .filter((stage) => stage.poolId === poolId)
      .reduce((total, stage) => total + stage.expectedMs, 0);
    return sum + ((load?.requestsPerSecond ?? 0) * busyMs) / MS_PER_SECOND;
  }, 0);
  return { serverCount: upstreamCount * (pool?.maxConcurrency ?? 0), erlangs };
}

/*
 * Response time of a stage: service plus waiting. Waiting by Allen and Cunneen's approximation of
 * M/G/c: Wq = C(c, a) * S / (c - a) * (1 + cv^2) / 2, and exponential for those who wait. An
 * overloaded pool refuses the excess at admission, so what it takes waits as at full load without
 * a queue.
 */
function getStageMoments(expectedMs: number, { serverCount, erlangs }: PoolDemand): Moments {
  const serviceVariance = (expectedMs * SERVICE_TIME_VARIATION) ** 2;
  if (erlangs >= serverCount) {
    return { mean: expectedMs, variance: serviceVariance };
  }
  const waitingFraction = getErlangC(serverCount, erlangs);
  const variationFactor = (1 + SERVICE_TIME_VARIATION ** 2) / 2;
  const conditionalMs = (expectedMs / (serverCount - erlangs)) * variationFactor;
  const waitMs = waitingFraction * conditionalMs;
  const waitVariance = 2 * waitingFraction * conditionalMs ** 2 - waitMs ** 2;
  return { mean: expectedMs + waitMs, variance: serviceVariance + waitVariance };
}

function predictAttainment(
  pipeline: PipelineRecord,
  configuration: ConfigurationRecord,
  loads: readonly PipelineLoad[],
): number {
  const demands = pipeline.stages
    .map((stage) => getPoolDemand(configuration, stage.poolId, loads));
  if (demands.some(({ serverCount }) => serverCount === 0)) {
    return 0;
  }
  const admitted = Math.min(1, ...demands
    .filter(({ erlangs }) => erlangs > 0)
    .map(({ serverCount, erlangs }) => serverCount / erlangs));
  const moments = pipeline.stages
    .map((stage, index) => getStageMoments(
      stage.expectedMs,
      demands[index] ?? { serverCount: 0, erlangs: 0 },
    ));
  const mean = moments.reduce((sum, moment) => sum + moment.mean, 0);
  const variance = moments.reduce((sum, moment) => sum + moment.variance, 0);
  return admitted * getGammaCdf(pipeline.deadlineMs, mean, variance);
}

/**
 * Predicts the fraction of requests that meet their deadline: each pool as an M/G/c queue with its
 * in-service concurrency as servers, the sum over the stages as a gamma distribution with the same
 * mean and variance.
 *
 * @param configuration - the configuration to judge
 * @param loads - measured requests a second; a missing pipeline counts as unloaded
 * @returns one fraction for each pipeline
 */
export function predictAttainments(
  configuration: ConfigurationRecord,
  loads: readonly PipelineLoad[],
): PipelineAttainment[] {
  return configuration.pipelines.map((pipeline) => ({
    pipelineId: pipeline.id,
    fraction: predictAttainment(pipeline, configuration, loads),
  }));
}

/**
 * Predicts the cost of one request when each stage runs once.
 *
 * @param configuration - the configuration to judge
 * @returns one cost for each pipeline
 */
export function predictCosts(configuration: ConfigurationRecord): PipelineCost[] {
  return configuration.pipelines.map((pipeline) => ({
    pipelineId: pipeline.id,
    costMicros: pipeline.stages.reduce((sum, stage) => sum + stage.expectedCostMicros, 0),
  }));
}
