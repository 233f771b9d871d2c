import type { ConfigurationRecord } from '../../src/configuration/records/ConfigurationRecord.ts';

const DOMAINS = ['domain-a', 'domain-b', 'domain-c'];
const KEY_DIGEST = 'a'.repeat(64);

/**
 * @param version - version of the configuration
 * @returns two pools, each with upstreams in three failure domains, a pipeline and an account
 */
export function createSampleConfiguration(version = 1): ConfigurationRecord {
  return {
    version,
    planId: `plan-${version}`,
    pools: ['encoders', 'engines'].map((id) => ({
      id,
      kind: 'stagePool',
      maxConcurrency: 8,
      coldConcurrency: 1,
      warmupMs: 5000,
      checksFencing: false,
    })),
    upstreams: ['encoders', 'engines'].flatMap((poolId) => DOMAINS.map((failureDomainId) => ({
      id: `${poolId}-${failureDomainId.slice(-1)}`,
      poolId,
      failureDomainId,
      url: 'http://127.0.0.1:9001',
    }))),
    pipelines: [{
      id: 'seating',
      deadlineMs: 2000,
      stages: [
        {
          id: 'encode', poolId: 'encoders', repeatable: true, expectedMs: 20, expectedCostMicros: 5,
        },
        {
          id: 'generate',
          poolId: 'engines',
          repeatable: true,
          expectedMs: 300,
          expectedCostMicros: 95,
        },
      ],
    }],
    accounts: [{
      id: 'shul-1',
      weight: 1,
      requestCostCeilingMicros: 1000,
      keySha256: KEY_DIGEST,
      pipelineIds: ['seating'],
    }],
    drains: [],
  };
}
