import { createHash } from 'node:crypto';
import type { CompletedAnswer, RequestAnswer, StageSummary } from '../../answers/RequestAnswer.ts';
import { toId, type PoolId } from '../../lib/ids.ts';
import type { CoreWorld } from '../CoreWorld.ts';
import { REQUEST_STATE, type RequestRecord } from '../tables/RequestRecord.ts';
import { abandonAttempt } from './abandonAttempt.ts';
import { explain } from './explain.ts';
import type { Refusal } from './Refusal.ts';
import { getCurrentStage } from './getCurrentStage.ts';

function getStageSummaries(request: RequestRecord): StageSummary[] {
  return request.stages.map((progress) => ({
    stageId: toId(progress.stage.id),
    upstreamId: progress.upstreamId,
    durationMs: progress.durationMs,
    costMicros: progress.costMicros,
    attemptCount: progress.attemptCount,
  }));
}

function getCostMicros(request: RequestRecord): number {
  return request.stages.reduce((sum, progress) => sum + progress.costMicros, 0);
}

function evictOldestAnswer(world: CoreWorld): void {
  if (world.requests.size <= world.options.maxRetainedAnswers + world.options.maxRequestsInFlight) {
    return;
  }
  const oldest = world.answeredIds.shift();
  if (oldest !== undefined) {
    world.requests.delete(oldest);
  }
}

function removeFromQueue(world: CoreWorld, request: RequestRecord): void {
  if (request.state === REQUEST_STATE.queued && request.stages.length > 0) {
    const poolId = toId<PoolId>(getCurrentStage(request).stage.poolId);
    const row = world.pools.getRow(poolId);
    row.queue.remove(request.requestId);
    row.suspects.delete(request);
  }
}

/**
 * Sends the final answer of a request, at once, and keeps it for callers who resume.
 *
 * @param world - the core's state
 * @param request - the request; nothing of it runs afterwards
 * @param answer - its final answer
 */
export function answerRequest(
  world: CoreWorld,
  request: RequestRecord,
  answer: RequestAnswer,
): void {
  removeFromQueue(world, request);
  world.router.releaseReservation(request.requestId);
  abandonAttempt(world, request);
  request.answer = answer;
  request.state = REQUEST_STATE.answered;
  world.inFlightCount -= 1;
  world.answeredIds.push(request.requestId);
  world.answerExpiries.add(
    request.requestId,
    world.context.getNowMs() + world.options.answerRetentionMs,
  );
  world.context.emit({ kind: 'answerRequest', requestId: request.requestId, answer });
  evictOldestAnswer(world);
}

/**
 * @param request - the request
 * @param output - the last stage's result
 * @returns the whole answer
 */
export function createCompletedAnswer(request: RequestRecord, output: string): CompletedAnswer {
  return {
    kind: 'completed',
    output,
    digest: createHash('sha256').update(output).digest('hex'),
    costMicros: getCostMicros(request),
    stages: getStageSummaries(request),
  };
}

/**
 * Ends a request with its whole result.
 *
 * @param world - the core's state
 * @param request - the request
 * @param output - the last stage's result
 */
export function completeRequest(world: CoreWorld, request: RequestRecord, output: string): void {
  const answer = createCompletedAnswer(request, output);
  explain(request, world.context.getNowMs(), 'completed', `${output.length} characters`);
  if (request.isClaimed) {
    world.claims.recordOutcome(request.requestId, answer);
  }
  answerRequest(world, request, answer);
}

function settleClaim(world: CoreWorld, request: RequestRecord, answer: RequestAnswer): void {
  if (!request.isClaimed) {
    return;
  }
  if (!request.mayHaveRun) {
    world.claims.releaseNotRun(request.requestId);
    return;
  }
  const attempt = request.attemptId === null ? undefined : world.attempts.get(request.attemptId);
  if (attempt !== undefined && !getCurrentStage(request).stage.repeatable) {
    // The caller gets its answer now; what the key's retries get is known when the attempt ends.
    attempt.decidesOutcome = true;
    return;
  }
  world.claims.recordOutcome(request.requestId, answer);
}

/**
 * Ends a request without a result. The answer says "not run" only when that is known.
 *
 * @param world - the core's state
 * @param request - the request
 * @param refusal - why
 * @param isKeyHistoryKnown - whether an earlier request with the same key can be ruled out
 */
export function refuseRequest(
  world: CoreWorld,
  request: RequestRecord,
  refusal: Refusal,
  isKeyHistoryKnown = request.isClaimed || request.idempotencyKey === null,
): void {
  const answer: RequestAnswer = {
    kind: 'refused',
    code: refusal.code,
    notRun: !request.mayHaveRun && isKeyHistoryKnown,
    retryAfterMs: refusal.retryAfterMs,
    detail: refusal.detail,
    costMicros: getCostMicros(request),
    stages: getStageSummaries(request),
  };
  explain(request, world.context.getNowMs(), 'refused', `${refusal.code}: ${refusal.detail}`);
  settleClaim(world, request, answer);
  answerRequest(world, request, answer);
}
