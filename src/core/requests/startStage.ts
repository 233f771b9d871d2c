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
 * Starts the stage at the request's index: a non-repeatable one gets its claim first.
 *
 * @param world - the core's state
 * @param request - the request
 */
export function startStage(world: CoreWorld, request: RequestRecord): void {
  const progress = getCurrentStage(request);
  progress.startedAtMs = world.context.getNowMs();
  request.failedUpstreamIds = [];
  if (progress.stage.repeatable || request.isClaimed) {
    queueStage(world, request);
    return;
  }
  request.state = REQUEST_STATE.claiming;
  world.claims.requestClaim({
    requestId: request.requestId,
    accountId: request.accountId,
    idempotencyKey: assertExists(request.idempotencyKey, 'Admission requires a key'),
    inputDigest: request.fingerprint,
  });
}
