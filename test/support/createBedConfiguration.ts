import {
  EXECUTION_SEMANTICS, type ServingConfiguration, type ServingRoute,
} from '../../src/directory/ServingConfiguration.ts';
import type { PoolId } from '../../src/lib/ids.ts';

function createRoute(poolId: PoolId): ServingRoute {
  return {
    name: 'safe',
    host: 'a.example',
    pathPrefix: '/safe/',
    executionSemantics: EXECUTION_SEMANTICS.repeatable,
    isStream: false,
    isResumable: false,
    timeoutMs: 3_000,
    targetLatencyMs: 2_000,
    gapTargetMs: 60,
    callerPatienceMs: 8_000,
    priority: 0,
    maxAttempts: 2,
    targets: [{ poolId, weight: 1 }],
    stages: [],
    isPublic: false,
  };
}

/**
 * @param poolId - pool of all upstreams
 * @returns routes for repeatable requests, requests that run once, and streams of both kinds
 */
export function createBedConfiguration(poolId: PoolId): ServingConfiguration {
  const route = createRoute(poolId);
  return {
    version: 1,
    encoded: 'version 1',
    routes: [
      route,
      {
        ...route,
        name: 'once',
        pathPrefix: '/once/',
        executionSemantics: EXECUTION_SEMANTICS.once,
      },
      {
        ...route, name: 'stream', pathPrefix: '/stream/', isStream: true, isResumable: true,
      },
      {
        ...route,
        name: 'single',
        pathPrefix: '/single/',
        isStream: true,
        executionSemantics: EXECUTION_SEMANTICS.once,
        maxAttempts: 1,
      },
    ],
    pools: new Map([[poolId, {
      id: poolId,
      healthPath: '/health',
      maxConnections: 10,
      coldRequestsPerSecond: 0,
      batch: null,
      engine: null,
    }]]),
    accountsByKey: new Map([['key', { name: 'account', priority: null }]]),
    callerLimits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 5_000,
    },
  };
}
