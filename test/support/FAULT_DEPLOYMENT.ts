import { POOL_KIND, type PoolRecord } from '../../src/configuration/records/PoolRecord.ts';
import type {
  DeployedPool, DeploymentDescription,
} from '../../standins/deployments/DeploymentDescription.ts';

const CAPACITY = 64;
const DEADLINE_MS = 2500;
const SERVICE_MS = 150;

function createPool(id: string, kind: PoolRecord['kind'], serviceMs: number): DeployedPool {
  return {
    record: {
      id,
      kind,
      maxConcurrency: CAPACITY,
      coldConcurrency: CAPACITY,
      warmupMs: 0,
      checksFencing: false,
    },
    upstreamCount: 1,
    standinOptions: { capacity: CAPACITY, serviceMs },
  };
}

function createStage(id: string, poolId: string, repeatable: boolean) {
  return {
    id, poolId, repeatable, expectedMs: SERVICE_MS, expectedCostMicros: 100,
  };
}

/** Minimal deployment with every kind of upstream, slow enough for a fault during a call. */
export const FAULT_DEPLOYMENT: DeploymentDescription = {
  name: 'fault',
  failureDomainIds: ['domain-a'],
  pools: [
    createPool('encoder', POOL_KIND.stagePool, 5),
    createPool('seat-ledger', POOL_KIND.service, SERVICE_MS),
    createPool('engine', POOL_KIND.engine, SERVICE_MS),
  ],
  pipelines: [
    {
      id: 'enquiry',
      deadlineMs: DEADLINE_MS,
      stages: [createStage('encode', 'encoder', true), createStage('generate', 'engine', true)],
    },
    {
      id: 'confirmation',
      deadlineMs: DEADLINE_MS,
      stages: [
        createStage('encode', 'encoder', true), createStage('confirm-seat', 'seat-ledger', false),
      ],
    },
  ],
  accounts: [{ id: 'account-1', weight: 1, requestCostCeilingMicros: 0 }],
};
