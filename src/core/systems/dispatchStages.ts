import { assertExists } from '../../lib/assertExists.ts';
import {
  toId, type AttemptId, type PipelineId, type PoolId, type StageId, type UpstreamId,
} from '../../lib/ids.ts';
import type { CoreWorld } from '../CoreWorld.ts';
import { explain } from '../requests/explain.ts';
import { getCurrentStage } from '../requests/getCurrentStage.ts';
import type { PoolRow } from '../tables/PoolTable.ts';
import { REQUEST_STATE, type RequestRecord } from '../tables/RequestRecord.ts';

const DEFAULT_PRIORITY = 0;

function sendStage(
  world: CoreWorld,
  request: RequestRecord,
  poolId: PoolId,
  upstreamId: UpstreamId,
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
    timeoutMs: request.deadlineAtMs - nowMs,
    priority: DEFAULT_PRIORITY,
    traceparent: request.traceparent,
  });
}

function dispatchPool(world: CoreWorld, { poolId, queue, retryBudget }: PoolRow): void {
  let next = queue.peek();
  while (next !== undefined) {
    const request = next.payload;
    const upstreamId = world.router.tryAcquire({
      poolId,
      requestId: request.requestId,
      accountId: request.accountId,
      affinityKey: null,
      excludedUpstreamIds: request.failedUpstreamIds,
    });
    if (upstreamId === null) {
      return;
    }
    queue.dequeue();
    if (request.failedUpstreamIds.length === 0) {
      retryBudget.noteOffered();
    }
    sendStage(world, request, poolId, upstreamId);
    next = queue.peek();
  }
}

/**
 * Sends the stages that wait, as far as their pools have room.
 *
 * @param world - the core's state
 */
export function dispatchStages(world: CoreWorld): void {
  [...world.pools.getRows()].forEach((row) => dispatchPool(world, row));
}
