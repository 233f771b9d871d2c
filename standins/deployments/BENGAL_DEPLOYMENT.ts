import type { DeploymentDescription } from './DeploymentDescription.ts';
import {
  COMMON_STAGES, createAccount, createEnginePool, createServicePool, createServiceStage,
  createStagePool,
} from './deploymentParts.ts';

const ENGINE_COUNT = 8;
const LARGE_SERVICE_SIZE = 4;
const SMALL_SERVICE_SIZE = 3;
const LARGE_WEIGHT = 3;
const SMALL_WEIGHT = 1;
const DEADLINE_MS = 6000;
const CHATTER_DEADLINE_MS = 2000;
const {
  encode, retrieve, rerank, generate,
} = COMMON_STAGES;

/** De-icing queue assist of Hooghly Aerocare Services. */
export const BENGAL_DEPLOYMENT: DeploymentDescription = {
  name: 'bengal',
  failureDomainIds: ['bengal-a', 'bengal-b', 'bengal-c'],
  pools: [
    createEnginePool(ENGINE_COUNT),
    createStagePool('encoder'),
    createStagePool('retriever'),
    createStagePool('reranker'),
    createServicePool('dispatch', LARGE_SERVICE_SIZE),
    createServicePool('fluid-stock', LARGE_SERVICE_SIZE),
    createServicePool('weather-intake', SMALL_SERVICE_SIZE),
    createServicePool('legacy-bridge', SMALL_SERVICE_SIZE),
  ],
  pipelines: [
    {
      id: 'holdover-brief',
      deadlineMs: DEADLINE_MS,
      stages: [
        encode, retrieve,
        createServiceStage('read-weather', 'weather-intake', true),
        rerank, generate,
      ],
    },
    { id: 'shift-handover', deadlineMs: DEADLINE_MS, stages: [encode, retrieve, rerank, generate] },
    {
      id: 'pad-chatter',
      deadlineMs: CHATTER_DEADLINE_MS,
      stages: [encode, retrieve, rerank, generate],
    },
    {
      id: 'rig-booking',
      deadlineMs: DEADLINE_MS,
      stages: [
        encode, retrieve, rerank,
        createServiceStage('book-rig', 'dispatch', false),
        generate,
      ],
    },
    {
      id: 'fluid-charge',
      deadlineMs: DEADLINE_MS,
      stages: [
        encode, retrieve, rerank,
        createServiceStage('charge-fluid', 'fluid-stock', false),
        generate,
      ],
    },
  ],
  accounts: [
    createAccount('gangetic-air', LARGE_WEIGHT),
    createAccount('terai-airlines', LARGE_WEIGHT),
    createAccount('delta-cargo', SMALL_WEIGHT),
    createAccount('sunderban-charter', SMALL_WEIGHT),
    createAccount('ramp-desk', SMALL_WEIGHT),
  ],
};
