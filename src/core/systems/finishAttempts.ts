import type { StageRecord } from '../../configuration/records/PipelineRecord.ts';
import { REFUSAL_CODE } from '../../answers/REFUSAL_CODE.ts';
import { exhaustiveSwitchError } from '../../lib/exhaustiveSwitchError.ts';
import { toId, type PipelineId } from '../../lib/ids.ts';
import { ATTEMPT_FAILURE, type AttemptFailure } from '../../upstreams/AttemptFailure.ts';
import { takeAll, type AttemptEndedInput } from '../CoreInbox.ts';
import type { AttemptFailedInput } from '../CoreInput.ts';
import type { CoreWorld } from '../CoreWorld.ts';
import { recordLateOutcome } from '../requests/recordLateOutcome.ts';
import { explain } from '../requests/explain.ts';
import { completeRequest, refuseRequest } from '../requests/finishRequest.ts';
import { getQuarantineRefusal } from '../requests/getQuarantineRefusal.ts';
import { getCurrentStage } from '../requests/getCurrentStage.ts';
import { queueStage, startStage } from '../requests/startStage.ts';
import type { AttemptRecord } from '../tables/AttemptRecord.ts';
import type { RequestRecord } from '../tables/RequestRecord.ts';

const MEDIAN = 0.5;

function isKnownNotRun(input: AttemptFailedInput): boolean {
  return input.failure === ATTEMPT_FAILURE.unreachable || input.failure === ATTEMPT_FAILURE.refused;
}

function releaseSlot(world: CoreWorld, attempt: AttemptRecord, input: AttemptEndedInput): void {
  if (!attempt.holdsSlot) {
    return;
  }
  attempt.holdsSlot = false;
  if (!attempt.isWanted) {
    world.router.recordCancelled(attempt.upstreamId);
    return;
  }
  world.router.recordOutcome({
    upstreamId: attempt.upstreamId,
    upstreamIncarnation: input.kind === 'attemptSucceeded' ? input.upstreamIncarnation : null,
    failure: input.kind === 'attemptFailed' ? input.failure : null,
    latencyMs: world.context.getNowMs() - attempt.sentAtMs,
  });
}

function recordCost(
  world: CoreWorld,
  attempt: AttemptRecord,
  request: RequestRecord,
  input: AttemptEndedInput,
): void {
  const progress = request.stages[attempt.stageIndex];
  if (progress !== undefined) {
    progress.costMicros += input.costMicros;
  }
  world.costs.book({
    attemptId: attempt.attemptId,
    accountId: request.accountId,
    pipelineId: toId<PipelineId>(request.pipeline.id),
    stageId: attempt.stageId,
    costMicros: input.costMicros,
  });
}

function advanceRequest(world: CoreWorld, request: RequestRecord, output: string): void {
  if (request.stageIndex + 1 === request.stages.length) {
    completeRequest(world, request, output);
    return;
  }
  request.stageIndex += 1;
  request.stageInput = output;
  startStage(world, request);
}

/** An upstream that received an attempt and did not answer may have run it. */
function isOutcomeUnknown({ repeatable }: StageRecord, failure: AttemptFailure): boolean {
  return !repeatable && (
    failure === ATTEMPT_FAILURE.crashed
    || failure === ATTEMPT_FAILURE.timedOut
    || failure === ATTEMPT_FAILURE.truncated
  );
}

function refuseAfterFailure(
  world: CoreWorld,
  request: RequestRecord,
  input: AttemptFailedInput,
): void {
  const quarantine = getQuarantineRefusal(world, request);
  if (quarantine !== null) {
    refuseRequest(world, request, quarantine);
    return;
  }
  const { stage } = getCurrentStage(request);
  refuseRequest(world, request, {
    code: isOutcomeUnknown(stage, input.failure)
      ? REFUSAL_CODE.outcomeUnknown
      : REFUSAL_CODE.upstreamFailed,
    detail: `Stage ${stage.id}: ${input.failure} (${input.detail})`,
    retryAfterMs: input.failure === ATTEMPT_FAILURE.rejected
      ? null
      : input.retryAfterMs ?? world.options.defaultRetryAfterMs,
  });
}

function canRetry(
  world: CoreWorld,
  request: RequestRecord,
  attempt: AttemptRecord,
  input: AttemptFailedInput,
): boolean {
  const { stage, attemptCount } = getCurrentStage(request);
  if (input.failure === ATTEMPT_FAILURE.rejected) {
    return false;
  }
  if (attemptCount >= world.options.maxAttemptsPerStage) {
    return false;
  }
  return world.pools.getRow(attempt.poolId).retryBudget.tryRetry({
    isRepeatable: true,
    remainingMs: request.deadlineAtMs - world.context.getNowMs(),
    medianMs: world.latencies.getQuantileMs(toId<PipelineId>(request.pipeline.id), stage, MEDIAN),
  });
}

function recordLatency(
  world: CoreWorld,
  request: RequestRecord,
  attempt: AttemptRecord,
  input: AttemptEndedInput,
): void {
  const latencyMs = world.context.getNowMs() - attempt.sentAtMs;
  const pipelineId = toId<PipelineId>(request.pipeline.id);
  const stage = request.stages[attempt.stageIndex]?.stage;
  if (stage !== undefined) {
    const expectedMs = world.latencies.getQuantileMs(pipelineId, stage, MEDIAN);
    world.pools.getRow(attempt.poolId).queue
      .correctCharge(request.accountId, latencyMs - expectedMs);
  }
  if (input.kind === 'attemptSucceeded') {
    world.latencies.record({
      pipelineId, stageId: attempt.stageId, latencyMs, costMicros: input.costMicros,
    });
  }
}

function updateQuarantine(
  world: CoreWorld,
  attempt: AttemptRecord,
  request: RequestRecord,
  input: AttemptEndedInput,
): void {
  const { quarantine, router } = world;
  const { poolId, upstreamId, isAlone } = attempt;
  if (isAlone) {
    router.releaseReservation(request.requestId);
  }
  if (input.kind === 'attemptSucceeded') {
    quarantine.recordIncarnation(upstreamId, input.upstreamIncarnation);
    quarantine.recordAnswered(request.fingerprint, poolId, isAlone);
    return;
  }
  switch (input.failure) {
    case ATTEMPT_FAILURE.crashed:
      quarantine.recordCrash(request.fingerprint, poolId, upstreamId);
      return;
    case ATTEMPT_FAILURE.errored:
    case ATTEMPT_FAILURE.rejected:
      quarantine.recordAnswered(request.fingerprint, poolId, isAlone);
      return;
    case ATTEMPT_FAILURE.refused:
    case ATTEMPT_FAILURE.timedOut:
    case ATTEMPT_FAILURE.truncated:
    case ATTEMPT_FAILURE.unreachable:
      return;
    default:
      throw exhaustiveSwitchError(input.failure);
  }
}

function handleFailure(
  world: CoreWorld,
  request: RequestRecord,
  attempt: AttemptRecord,
  input: AttemptFailedInput,
): void {
  const progress = getCurrentStage(request);
  request.failedUpstreamIds.push(attempt.upstreamId);
  const isSafe = progress.stage.repeatable || isKnownNotRun(input);
  if (isSafe && !progress.stage.repeatable) {
    // This is the stage's only attempt so far that may have run, and the upstream did not run it.
    request.mayHaveRun = request.stages
      .slice(0, request.stageIndex)
      .some(({ stage }) => !stage.repeatable);
  }
  if (isSafe && canRetry(world, request, attempt, input)) {
    queueStage(world, request);
    return;
  }
  refuseAfterFailure(world, request, input);
}

function endAttempt(world: CoreWorld, input: AttemptEndedInput): void {
  const attempt = world.attempts.get(input.attemptId);
  if (attempt === undefined) {
    return;
  }
  const nowMs = world.context.getNowMs();
  releaseSlot(world, attempt, input);
  const isTimedOut = input.kind === 'attemptFailed' && input.failure === ATTEMPT_FAILURE.timedOut;
  if (isTimedOut) {
    world.lateAttempts.add(input.attemptId, nowMs + world.options.lateAttemptTimeoutMs);
  } else {
    world.attempts.delete(input.attemptId);
  }
  const request = world.requests.get(attempt.requestId);
  if (request === undefined) {
    return;
  }
  recordCost(world, attempt, request, input);
  updateQuarantine(world, attempt, request, input);
  recordLatency(world, request, attempt, input);
  if (attempt.decidesOutcome && !isTimedOut) {
    recordLateOutcome(world, attempt, request, input);
  }
  if (request.attemptId !== attempt.attemptId) {
    return;
  }
  const mayStillDecide = isTimedOut && request.isClaimed
    && !getCurrentStage(request).stage.repeatable;
  if (!mayStillDecide) {
    request.attemptId = null;
  }
  attempt.isWanted = false;
  const progress = getCurrentStage(request);
  progress.durationMs = nowMs - progress.startedAtMs;
  if (input.kind === 'attemptSucceeded') {
    progress.upstreamId = attempt.upstreamId;
    explain(request, nowMs, 'succeeded', `${attempt.stageId} at ${attempt.upstreamId}`);
    advanceRequest(world, request, input.output);
  } else {
    const where = `${attempt.stageId} at ${attempt.upstreamId}`;
    explain(request, nowMs, 'failed', `${where}: ${input.failure} (${input.detail})`);
    handleFailure(world, request, attempt, input);
  }
}

/**
 * Ends attempts: releases the upstream's slot, records the cost, and starts the request's next
 * stage, retries the stage or answers the request.
 *
 * @param world - the core's state
 */
export function finishAttempts(world: CoreWorld): void {
  takeAll(world.inbox.attemptsEnded).forEach((input) => endAttempt(world, input));
}
