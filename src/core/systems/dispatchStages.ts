import { assertExists } from '../../lib/assertExists.ts';
import {
  toId, type AttemptId, type PipelineId, type PoolId, type StageId, type UpstreamId,
} from '../../lib/ids.ts';
import type { CoreWorld } from '../CoreWorld.ts';
import type { AcquireRequest } from '../../routing/AcquireRequest.ts';
import { explain } from '../requests/explain.ts';
import { getCurrentStage } from '../requests/getCurrentStage.ts';
import type { PoolRow } from '../tables/PoolTable.ts';
import { REQUEST_STATE, type RequestRecord } from '../tables/RequestRecord.ts';

const DEFAULT_PRIORITY = 0;

/** Where a stage goes. */
interface StageTarget {
  readonly poolId: PoolId;
  readonly upstreamId: UpstreamId;
  readonly isAlone: boolean;
}

function sendStage(
  world: CoreWorld,
  request: RequestRecord,
  { poolId, upstreamId, isAlone }: StageTarget,
): void {
  const { context, configuration } = world;
  const nowMs = context.getNowMs();
  const progress = getCurrentStage(request);
  const stageId = toId<StageId>(progress.stage.id);
  const attemptId = toId<AttemptId>(context.random.getHexId());
  const upstream = assertExists(
    configuration.upstreams.get(upstreamId),
    'The router chooses among the configured upstreams',
  );
  const pool = assertExists(
    configuration.pools.get(poolId),
    'An upstream belongs to a configured pool',
  );
  progress.attemptCount += 1;
  request.attemptId = attemptId;
  request.state = REQUEST_STATE.running;
  request.mayHaveRun ||= !progress.stage.repeatable;
  world.attempts.set(attemptId, {
    attemptId,
    requestId: request.requestId,
    poolId,
    stageId,
    stageIndex: request.stageIndex,
    upstreamId,
    sentAtMs: nowMs,
    isAlone,
    isWanted: true,
    holdsSlot: true,
    decidesOutcome: false,
  });
  explain(request, nowMs, 'sent', `${stageId} to ${upstreamId}`);
  context.emit({
    kind: 'sendAttempt',
    attemptId,
    requestId: request.requestId,
    accountId: request.accountId,
    pipelineId: toId<PipelineId>(request.pipeline.id),
    stageId,
    upstreamId,
    url: upstream.url,
    poolKind: pool.kind,
    input: request.stageInput,
    idempotencyKey: progress.stage.repeatable ? null : request.idempotencyKey,
    timeoutMs: world.router.getAttemptTimeoutMs(world.admission.getAttemptTimeoutMs({
      pipeline: request.pipeline,
      nextStageIndex: request.stageIndex,
      deadlineAtMs: request.deadlineAtMs,
    })),
    priority: DEFAULT_PRIORITY,
    traceparent: request.traceparent,
  });
}

function createAcquireRequest(
  world: CoreWorld,
  request: RequestRecord,
  poolId: PoolId,
): AcquireRequest {
  const isEngine = world.configuration.pools.get(poolId)?.kind === 'engine';
  return {
    poolId,
    requestId: request.requestId,
    accountId: request.accountId,
    // Prompts of one pipeline and account begin alike, so that an engine can reuse its cache.
    affinityKey: isEngine ? `${request.pipeline.id}/${request.accountId}` : null,
    excludedUpstreamIds: request.failedUpstreamIds,
    timeoutMs: request.deadlineAtMs - world.context.getNowMs(),
    isRepeatable: getCurrentStage(request).stage.repeatable,
  };
}

function dispatchSuspectRequests(world: CoreWorld, { poolId, suspects }: PoolRow): void {
  suspects.forEach((request) => {
    const acquireRequest = createAcquireRequest(world, request, poolId);
    const upstreamId = world.router.tryAcquireAlone(acquireRequest);
    if (upstreamId !== null) {
      suspects.delete(request);
      sendStage(world, request, { poolId, upstreamId, isAlone: true });
    }
  });
}

function dispatchQueue(world: CoreWorld, { poolId, queue, retryBudget }: PoolRow): void {
  let next = queue.peek();
  while (next !== undefined) {
    const request = next.payload;
    const upstreamId = world.router.tryAcquire(createAcquireRequest(world, request, poolId));
    if (upstreamId === null) {
      return;
    }
    queue.dequeue();
    if (request.failedUpstreamIds.length === 0) {
      retryBudget.recordFirstAttempt();
    }
    sendStage(world, request, { poolId, upstreamId, isAlone: false });
    next = queue.peek();
  }
}

/**
 * Sends the stages that wait, as far as their pools have room.
 *
 * @param world - the core's state
 */
export function dispatchStages(world: CoreWorld): void {
  [...world.pools.getRows()].forEach((row) => {
    dispatchSuspectRequests(world, row);
    dispatchQueue(world, row);
  });
}
