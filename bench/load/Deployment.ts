import type { ConfigurationRecord } from '../../src/configuration/records/ConfigurationRecord.ts';
import type { DrainRecord } from '../../src/configuration/records/DrainRecord.ts';
import type { PipelineRecord } from '../../src/configuration/records/PipelineRecord.ts';
import type { PoolRecord } from '../../src/configuration/records/PoolRecord.ts';
import type { UpstreamRecord } from '../../src/configuration/records/UpstreamRecord.ts';

/** The size of the deployment of one user. */
export interface Deployment {
  readonly name: string;
  readonly hostCount: number;
  readonly engineCount: number;
  /** Upstreams in each stage pool and each service. */
  readonly memberCount: number;
  readonly accountIds: readonly string[];
}

/** Current deployment sizes of the two users. */
export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'Midlands',
    hostCount: 6,
    engineCount: 12,
    memberCount: 4,
    accountIds: ['a1', 'a2', 'a3', 'a4', 'a5'],
  },
  {
    name: 'Bengal',
    hostCount: 8,
    engineCount: 8,
    memberCount: 3,
    accountIds: ['a1', 'a2', 'a3', 'a4', 'a5'],
  },
];

/** Mean service times by pool, in milliseconds. */
export const SERVICE_MS: Readonly<Record<string, number>> = {
  encoders: 20, retrievers: 40, rerankers: 60, engines: 1_200, ledger: 30,
};

/** Attempts that an upstream runs concurrently; further ones are queued. */
export const SLOTS_PER_UPSTREAM = 8;

const DOMAINS = ['domain-a', 'domain-b', 'domain-c'];
const DEADLINE_MS = 6_000;
const WARMUP_MS = 20_000;
const COLD_CONCURRENCY = 2;

function createPool(id: string, kind: PoolRecord['kind']): PoolRecord {
  return {
    id,
    kind,
    maxConcurrency: SLOTS_PER_UPSTREAM,
    coldConcurrency: COLD_CONCURRENCY,
    warmupMs: WARMUP_MS,
    checksFencing: false,
  };
}

function createMembers(poolId: string, count: number): UpstreamRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${poolId}-${index}`,
    poolId,
    failureDomainId: DOMAINS[index % DOMAINS.length] as string,
    url: `http://127.0.0.1/${poolId}/${index}`,
  }));
}

function createStage(id: string, poolId: string, repeatable = true): PipelineRecord['stages'][0] {
  return {
    id, poolId, repeatable, expectedMs: SERVICE_MS[poolId] ?? 0, expectedCostMicros: 10,
  };
}

const READ_STAGES = [
  createStage('encode', 'encoders'),
  createStage('retrieve', 'retrievers'),
  createStage('rerank', 'rerankers'),
  createStage('generate', 'engines'),
];

/**
 * Creates a configuration with two pipelines: one of four stages, and one that also calls a
 * service.
 *
 * @param deployment - the deployment
 * @param drains - drained upstreams and failure domains
 * @param version - the version of the configuration
 * @returns the configuration
 */
export function createDeploymentConfiguration(
  deployment: Deployment,
  drains: DrainRecord[] = [],
  version = 1,
): ConfigurationRecord {
  const { engineCount, memberCount } = deployment;
  return {
    version,
    planId: 'bench',
    pools: [
      createPool('encoders', 'stagePool'),
      createPool('retrievers', 'stagePool'),
      createPool('rerankers', 'stagePool'),
      createPool('engines', 'engine'),
      createPool('ledger', 'service'),
    ],
    upstreams: [
      ...['encoders', 'retrievers', 'rerankers', 'ledger']
        .flatMap((poolId) => createMembers(poolId, memberCount)),
      ...createMembers('engines', engineCount),
    ],
    pipelines: [
      { id: 'brief', deadlineMs: DEADLINE_MS, stages: READ_STAGES },
      {
        id: 'booking',
        deadlineMs: DEADLINE_MS,
        stages: [...READ_STAGES, createStage('confirm', 'ledger', false)],
      },
    ],
    accounts: deployment.accountIds.map((id) => ({
      id,
      weight: 1,
      requestCostCeilingMicros: 0,
      keySha256: '0'.repeat(64),
      pipelineIds: ['brief', 'booking'],
    })),
    drains,
  };
}

/**
 * Gets the failure domain of a host.
 *
 * @param index - index of the host
 * @returns the failure domain
 */
export function getHostDomain(index: number): string {
  return DOMAINS[index % DOMAINS.length] as string;
}

/**
 * Computes the capacity of the engines, the pool with the least capacity.
 *
 * @param deployment - the deployment
 * @returns the requests per second that the engines can serve
 */
export function getCapacityPerSecond(deployment: Deployment): number {
  return (deployment.engineCount * SLOTS_PER_UPSTREAM * 1_000) / (SERVICE_MS.engines ?? 1);
}
