import type { ConfigurationRecord } from '../../src/configuration/records/ConfigurationRecord.ts';
import type { StageRecord } from '../../src/configuration/records/PipelineRecord.ts';

const POOL_BOUNDS = {
  maxConcurrency: 2, coldConcurrency: 1, warmupMs: 0, checksFencing: false,
} as const;

const stage = (id: string, poolId: string, repeatable: boolean): StageRecord => ({
  id, poolId, repeatable, expectedMs: 10, expectedCostMicros: 10,
});

/** Two pools over two failure domains; a repeatable and a non-repeatable pipeline. */
export function createTestConfiguration(): ConfigurationRecord {
  const upstreams = ['pool-1', 'pool-2'].flatMap((poolId) => ['a', 'b'].map((domain) => ({
    id: `${poolId}-${domain}`,
    poolId,
    failureDomainId: `domain-${domain}`,
    url: 'http://127.0.0.1:1',
  })));
  return {
    version: 1,
    planId: 'plan-1',
    pools: [
      { id: 'pool-1', kind: 'stagePool', ...POOL_BOUNDS },
      { id: 'pool-2', kind: 'service', ...POOL_BOUNDS },
    ],
    upstreams,
    pipelines: [
      {
        id: 'read',
        deadlineMs: 1000,
        stages: [stage('encode', 'pool-1', true), stage('look', 'pool-2', true)],
      },
      {
        id: 'book',
        deadlineMs: 1000,
        stages: [stage('encode', 'pool-1', true), stage('confirm', 'pool-2', false)],
      },
    ],
    accounts: [{
      id: 'account-1',
      weight: 1,
      requestCostCeilingMicros: 0,
      keySha256: '0'.repeat(64),
      pipelineIds: ['read', 'book'],
    }],
    drains: [],
  };
}
