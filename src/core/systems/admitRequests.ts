import { REFUSAL_CODE } from '../../answers/REFUSAL_CODE.ts';
import type { PipelineRecord } from '../../configuration/records/PipelineRecord.ts';
import { takeAll } from '../CoreInbox.ts';
import type { RequestSubmittedInput } from '../CoreInput.ts';
import type { CoreWorld } from '../CoreWorld.ts';
import { explain } from '../requests/explain.ts';
import { refuseRequest } from '../requests/finishRequest.ts';
import type { Refusal } from '../requests/Refusal.ts';
import { getFingerprint } from '../../quarantine/getFingerprint.ts';
import { getAdmissionRefusal } from '../requests/getAdmissionRefusal.ts';
import { getQuarantineRefusal } from '../requests/getQuarantineRefusal.ts';
import { startRequest } from '../requests/startStage.ts';
import { REQUEST_STATE, type RequestRecord } from '../tables/RequestRecord.ts';

const NO_PIPELINE: PipelineRecord = { id: '', deadlineMs: 1, stages: [] };

function createRequestRecord(
  world: CoreWorld,
  input: RequestSubmittedInput,
  pipeline: PipelineRecord,
): RequestRecord {
  const nowMs = world.context.getNowMs();
  const allowedMs = Math.min(input.deadlineMs ?? pipeline.deadlineMs, world.options.maxDeadlineMs);
  return {
    requestId: input.requestId,
    accountId: input.accountId,
    pipeline,
    idempotencyKey: input.idempotencyKey,
    input: input.input,
    fingerprint: getFingerprint([input.accountId, pipeline.id], input.input),
    arrivedAtMs: nowMs,
    deadlineAtMs: nowMs + allowedMs,
    traceparent: input.traceparent,
    state: REQUEST_STATE.queued,
    stageIndex: 0,
    stageInput: input.input,
    stages: pipeline.stages.map((stage) => ({
      stage, startedAtMs: nowMs, durationMs: 0, costMicros: 0, attemptCount: 0, upstreamId: null,
    })),
    attemptId: null,
    failedUpstreamIds: [],
    isAbandoned: false,
    isClaimed: false,
    mayHaveRun: false,
    streamedText: '',
    answer: null,
    explanation: [],
  };
}

function isAllowed(world: CoreWorld, request: RequestRecord): boolean {
  const account = world.configuration.accounts.get(request.accountId);
  return account?.pipelineIds.includes(request.pipeline.id) ?? false;
}

function isLeaving({ leavingSinceMs, context, options }: CoreWorld): boolean {
  return leavingSinceMs !== null && context.getNowMs() >= leavingSinceMs + options.leaveGraceMs;
}

function getHostRefusal(world: CoreWorld): Refusal | null {
  const { options } = world;
  if (isLeaving(world)) {
    return {
      code: REFUSAL_CODE.notReady,
      detail: 'This host is out of service; another one serves the request',
      retryAfterMs: options.defaultRetryAfterMs,
    };
  }
  if (world.inFlightCount > options.maxRequestsInFlight) {
    return {
      code: REFUSAL_CODE.overloaded,
      detail: `This host carries ${options.maxRequestsInFlight} requests already`,
      retryAfterMs: options.defaultRetryAfterMs,
    };
  }
  return null;
}

function getRequestRefusal(world: CoreWorld, request: RequestRecord): Refusal | null {
  if (!isAllowed(world, request)) {
    return {
      code: REFUSAL_CODE.pipelineUnknown,
      detail: 'The account may not call this pipeline, or the pipeline does not exist',
      retryAfterMs: null,
    };
  }
  const needsKey = request.pipeline.stages.some(({ repeatable }) => !repeatable);
  if (needsKey && request.idempotencyKey === null) {
    return {
      code: REFUSAL_CODE.keyRequired,
      detail: 'The pipeline has a stage that may not be repeated: send an Idempotency-Key header',
      retryAfterMs: null,
    };
  }
  return null;
}

function getRefusal(world: CoreWorld, request: RequestRecord): Refusal | null {
  return getHostRefusal(world)
    ?? getRequestRefusal(world, request)
    ?? getQuarantineRefusal(world, request)
    ?? getAdmissionRefusal(world, request);
}

/**
 * Processes new requests: refuses at once those that can't be served and starts the others.
 *
 * @param world - the core's state
 */
export function admitRequests(world: CoreWorld): void {
  takeAll(world.inbox.submitted).forEach((input) => {
    const pipeline = world.configuration.pipelines.get(input.pipelineId);
    const request = createRequestRecord(world, input, pipeline ?? NO_PIPELINE);
    world.requests.set(request.requestId, request);
    world.inFlightCount += 1;
    const refusal = getRefusal(world, request);
    if (refusal !== null) {
      refuseRequest(world, request, refusal);
      return;
    }
    const allowedMs = request.deadlineAtMs - request.arrivedAtMs;
    explain(request, request.arrivedAtMs, 'admitted', `${allowedMs} ms until the deadline`);
    world.deadlines.add(request.requestId, request.deadlineAtMs);
    startRequest(world, request);
  });
}
