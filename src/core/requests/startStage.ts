import { REFUSAL_CODE } from '../../answers/REFUSAL_CODE.ts';
import { assertExists } from '../../lib/assertExists.ts';
import { toId, type PipelineId, type PoolId } from '../../lib/ids.ts';
import type { CoreWorld } from '../CoreWorld.ts';
import { REQUEST_STATE, type RequestRecord } from '../tables/RequestRecord.ts';
import { refuseRequest } from './finishRequest.ts';
import { getAdmissionDecision } from './getAdmissionRefusal.ts';
import { getQuarantineRefusal } from './getQuarantineRefusal.ts';
import { getCurrentStage } from './getCurrentStage.ts';

const MEDIAN = 0.5;
const DEFAULT_PRIORITY = 0;

/**
 * Puts a request into the queue of its stage's pool.
 *
 * @param world - the core's state
 * @param request - the request
 */
export function queueStage(world: CoreWorld, request: RequestRecord): void {
  const { stage } = getCurrentStage(request);
  const pipelineId = toId<PipelineId>(request.pipeline.id);
  const verdict = getAdmissionDecision(world, request);
  if (verdict.kind === 'refused') {
    refuseRequest(world, request, verdict);
    return;
  }
  const quarantine = getQuarantineRefusal(world, request);
  if (quarantine !== null) {
    refuseRequest(world, request, quarantine);
    return;
  }
  request.state = REQUEST_STATE.queued;
  const row = world.pools.getRow(toId<PoolId>(stage.poolId));
  if (world.quarantine.mustRunAlone(request.fingerprint, row.poolId)) {
    row.suspects.add(request);
    return;
  }
  const isQueued = row.queue.enqueue({
    requestId: request.requestId,
    accountId: request.accountId,
    priority: DEFAULT_PRIORITY,
    deadlineAtMs: verdict.latestStartAtMs,
    // Accounts share the time of the pool's upstreams, so that is what they are charged.
    expectedCost: world.latencies.getQuantileMs(pipelineId, stage, MEDIAN),
    payload: request,
  });
  if (!isQueued) {
    refuseRequest(world, request, {
      code: REFUSAL_CODE.overloaded,
      detail: `Too many requests of this account wait for pool ${stage.poolId}`,
      retryAfterMs: world.options.defaultRetryAfterMs,
    });
  }
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
export function requestClaim(world: CoreWorld, request: RequestRecord): void {
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
    requestClaim(world, request);
  } else {
    startStage(world, request);
  }
}
