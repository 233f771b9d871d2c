import type { DeploymentDescription } from './DeploymentDescription.ts';
import {
  COMMON_STAGES, createAccount, createEnginePool, createServicePool, createServiceStage,
  createStagePool,
} from './deploymentParts.ts';

const ENGINE_COUNT = 12;
const SERVICE_SIZE = 4;
const LARGE_WEIGHT = 3;
const SMALL_WEIGHT = 1;
const DEADLINE_MS = 6000;
const {
  encode, retrieve, rerank, generate,
} = COMMON_STAGES;

/** Seatdesk of the Midlands Synagogue Seating Association. */
export const MIDLANDS_DEPLOYMENT: DeploymentDescription = {
  name: 'midlands',
  failureDomainIds: ['midlands-a', 'midlands-b', 'midlands-c'],
  pools: [
    createEnginePool(ENGINE_COUNT),
    createStagePool('encoder'),
    createStagePool('retriever'),
    createStagePool('reranker'),
    createServicePool('seat-ledger', SERVICE_SIZE),
    createServicePool('membership-roll', SERVICE_SIZE),
    createServicePool('memorial-calendar', SERVICE_SIZE),
    createServicePool('levy-billing', SERVICE_SIZE),
  ],
  pipelines: [
    { id: 'seat-enquiry', deadlineMs: DEADLINE_MS, stages: [encode, retrieve, rerank, generate] },
    {
      id: 'seat-confirmation',
      deadlineMs: DEADLINE_MS,
      stages: [
        encode, retrieve, rerank,
        createServiceStage('confirm-seat', 'seat-ledger', false),
        generate,
      ],
    },
    {
      id: 'member-letter',
      deadlineMs: DEADLINE_MS,
      stages: [
        encode, retrieve,
        createServiceStage('read-roll', 'membership-roll', true),
        rerank, generate,
      ],
    },
    {
      id: 'memorial-letter',
      deadlineMs: DEADLINE_MS,
      stages: [
        encode, retrieve,
        createServiceStage('read-calendar', 'memorial-calendar', true),
        rerank, generate,
      ],
    },
    {
      id: 'levy-charge',
      deadlineMs: DEADLINE_MS,
      stages: [
        encode, retrieve, rerank,
        createServiceStage('charge-levy', 'levy-billing', false),
        generate,
      ],
    },
  ],
  accounts: [
    createAccount('hallam-shul', LARGE_WEIGHT),
    createAccount('arden-shul', LARGE_WEIGHT),
    createAccount('trent-shul', SMALL_WEIGHT),
    createAccount('severn-shul', SMALL_WEIGHT),
    createAccount('wrekin-shul', SMALL_WEIGHT),
  ],
};
