import { assertExists } from '../../lib/assertExists.ts';
import { toId, type PoolId } from '../../lib/ids.ts';
import type { CoreWorld } from '../CoreWorld.ts';
import { REQUEST_STATE, type RequestRecord } from '../tables/RequestRecord.ts';
import { getCurrentStage } from './getCurrentStage.ts';

/**
 * Puts a request into the queue of its stage's pool.
 *
 * @param world - the core's state
 * @param request - the request
 */
export function queueStage(world: CoreWorld, request: RequestRecord): void {
  const poolId = toId<PoolId>(getCurrentStage(request).stage.poolId);
  const queue = world.waiting.get(poolId) ?? [];
  queue.push(request);
  world.waiting.set(poolId, queue);
  request.state = REQUEST_STATE.queued;
}

/**
 * Starts the stage at the request's index.
 *
 * @param world - the core's state
 * @param request - the request
 */
export function startStage(world: CoreWorld, request: RequestRecord): void {
  getCurrentStage(request).startedAtMs = world.context.getNowMs();
  request.failedUpstreamIds = [];
  queueStage(world, request);
}

/**
 * Asks for the claim of a request's key.
 *
 * @param world - the core's state
 * @param request - a request with a non-repeatable stage
 */
export function claimKey(world: CoreWorld, request: RequestRecord): void {
  request.state = REQUEST_STATE.claiming;
  world.claims.requestClaim({
    requestId: request.requestId,
    accountId: request.accountId,
    idempotencyKey: assertExists(request.idempotencyKey, 'Admission requires a key'),
    inputDigest: request.fingerprint,
  });
}

/**
 * Starts an admitted request. One with a non-repeatable stage gets its claim before its first
 * stage, so that a known key or an outage is told before anything is billed.
 *
 * @param world - the core's state
 * @param request - the request
 */
export function startRequest(world: CoreWorld, request: RequestRecord): void {
  if (request.pipeline.stages.some(({ repeatable }) => !repeatable)) {
    claimKey(world, request);
  } else {
    startStage(world, request);
  }
}
