import { POOL_KIND, type PoolRecord } from '../../src/configuration/records/PoolRecord.ts';
import type { DeploymentDescription } from '../../standins/deployments/DeploymentDescription.ts';

/** High enough that no limit of the upstreams is reached. */
const CAPACITY = 1024;
const TOKEN_COUNT = 4;
const UPSTREAM_COUNT = 2;
const DEADLINE_MS = 6000;
const STAGE_POOLS = ['encoder', 'retriever', 'reranker'];

function createPoolRecord(id: string, kind: PoolRecord['kind']): PoolRecord {
  return {
    id,
    kind,
    maxConcurrency: CAPACITY,
    coldConcurrency: CAPACITY,
    warmupMs: 0,
    checksFencing: false,
  };
}

function createStage(id: string, poolId: string) {
  return {
    id, poolId, repeatable: true, expectedMs: 2, expectedCostMicros: 1,
  };
}

/** Four stages whose upstreams answer at once, so that the host's own overhead dominates. */
export const OVERHEAD_DEPLOYMENT: DeploymentDescription = {
  name: 'overhead',
  failureDomainIds: ['domain-a'],
  pools: [
    ...STAGE_POOLS.map((id) => ({
      record: createPoolRecord(id, POOL_KIND.stagePool),
      upstreamCount: UPSTREAM_COUNT,
      standinOptions: { capacity: CAPACITY, serviceMs: 0 },
    })),
    {
      record: createPoolRecord('engine', POOL_KIND.engine),
      upstreamCount: UPSTREAM_COUNT,
      standinOptions: {
        capacity: CAPACITY, serviceMs: 0, tokenMs: 0, tokenCount: TOKEN_COUNT,
      },
    },
  ],
  pipelines: [{
    id: 'relay',
    deadlineMs: DEADLINE_MS,
    stages: [
      createStage('encode', 'encoder'),
      createStage('retrieve', 'retriever'),
      createStage('rerank', 'reranker'),
      createStage('generate', 'engine'),
    ],
  }],
  accounts: [{ id: 'account-1', weight: 1, requestCostCeilingMicros: 0 }],
};
