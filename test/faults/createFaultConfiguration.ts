import type { ConfigurationRecord } from '../../src/configuration/records/ConfigurationRecord.ts';
import type { StageRecord } from '../../src/configuration/records/PipelineRecord.ts';

/** Failure domains of the simulation; each has one host and one upstream of each pool. */
export const DOMAINS = ['a', 'b', 'c'] as const;

/** Cold start limit of an upstream, and how long it is cold. */
export const COLD_CONCURRENCY = 1;
export const WARMUP_MS = 600;

const stage = (id: string, poolId: string, repeatable: boolean): StageRecord => ({
  id, poolId, repeatable, expectedMs: 40, expectedCostMicros: 10,
});

/**
 * @returns three pools over three failure domains, a repeatable and a non-repeatable pipeline
 */
export function createFaultConfiguration(): ConfigurationRecord {
  const bounds = {
    maxConcurrency: 4,
    coldConcurrency: COLD_CONCURRENCY,
    warmupMs: WARMUP_MS,
    checksFencing: false,
  };
  const pools: ConfigurationRecord['pools'] = [
    { id: 'encoders', kind: 'stagePool', ...bounds },
    { id: 'ledger', kind: 'service', ...bounds },
    { id: 'model', kind: 'engine', ...bounds },
  ];
  return {
    version: 1,
    planId: 'plan-1',
    pools,
    upstreams: pools.flatMap(({ id }) => DOMAINS.map((domain) => ({
      id: `${id}-${domain}`,
      poolId: id,
      failureDomainId: `domain-${domain}`,
      url: 'http://127.0.0.1:1',
    }))),
    pipelines: [
      {
        id: 'read',
        deadlineMs: 2000,
        stages: [stage('encode', 'encoders', true), stage('generate', 'model', true)],
      },
      {
        id: 'book',
        deadlineMs: 2000,
        stages: [
          stage('encode', 'encoders', true),
          stage('confirm', 'ledger', false),
          stage('generate', 'model', true),
        ],
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

/**
 * @param pipelineId - a pipeline of the simulation
 * @param input - the request's input
 * @returns the complete output that the request must get
 */
export function getExpectedOutput(pipelineId: string, input: string): string {
  return pipelineId === 'book'
    ? `generate(confirm(encode(${input})))` : `generate(encode(${input}))`;
}
