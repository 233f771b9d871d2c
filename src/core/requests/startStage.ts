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
 * Adds a request to the queue of its stage's pool, or refuses it.
 *
 * @param world - the core's state
 * @param request - the request
 */
export function queueStage(world: CoreWorld, request: RequestRecord): void {
  const { stage } = getCurrentStage(request);
  const pipelineId = toId<PipelineId>(request.pipeline.id);
  const decision = getAdmissionDecision(world, request);
  if (decision.kind === 'refused') {
    refuseRequest(world, request, decision);
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
    deadlineAtMs: decision.latestStartAtMs,
    // Accounts share the pool's upstream time, so their charge is the expected duration.
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
 * Queues the stage at the request's stage index as a new stage, without earlier failures.
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
 * Requests the claim of a request's idempotency key.
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
 * Starts an admitted request. A request with a non-repeatable stage is claimed before its first
 * stage, so that a known key or an outage is reported before any cost arises.
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
