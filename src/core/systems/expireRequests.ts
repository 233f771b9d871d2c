import { REFUSAL_CODE } from '../../answers/REFUSAL_CODE.ts';
import { takeAll } from '../CoreInbox.ts';
import type { CoreWorld } from '../CoreWorld.ts';
import { refuseRequest } from '../requests/finishRequest.ts';
import { REQUEST_STATE, type RequestRecord } from '../tables/RequestRecord.ts';

function expireDeadline(world: CoreWorld, request: RequestRecord): void {
  const retryAfterMs = world.options.defaultRetryAfterMs;
  if (request.state === REQUEST_STATE.following) {
    refuseRequest(world, request, {
      code: REFUSAL_CODE.outcomeUnknown,
      detail: 'The key is still running under an earlier request; ask again',
      retryAfterMs,
    });
    return;
  }
  refuseRequest(world, request, {
    code: REFUSAL_CODE.deadlineExceeded,
    detail: `The deadline passed in stage ${request.stages[request.stageIndex]?.stage.id}`,
    retryAfterMs,
  });
}

function expireDeadlines(world: CoreWorld): void {
  const nowMs = world.context.getNowMs();
  let requestId = world.deadlines.takeDue(nowMs);
  while (requestId !== null) {
    const request = world.requests.get(requestId);
    if (request !== undefined && request.answer === null) {
      expireDeadline(world, request);
    }
    requestId = world.deadlines.takeDue(nowMs);
  }
}

function applyCallerChanges(world: CoreWorld): void {
  const giveUpAtMs = world.context.getNowMs() + world.options.resumeGraceMs;
  takeAll(world.inbox.callerChanges).forEach(({ kind, requestId }) => {
    const request = world.requests.get(requestId);
    if (request === undefined) {
      return;
    }
    request.isAbandoned = kind === 'requestAbandoned';
    if (request.isAbandoned) {
      world.resumeDeadlines.add(requestId, giveUpAtMs);
    }
  });
}

function cancelAbandoned(world: CoreWorld): void {
  const nowMs = world.context.getNowMs();
  let requestId = world.resumeDeadlines.takeDue(nowMs);
  while (requestId !== null) {
    const request = world.requests.get(requestId);
    // A non-repeatable stage that was sent runs to its end, so that its outcome can be recorded.
    if (request?.answer === null && request.isAbandoned && !request.mayHaveRun) {
      refuseRequest(world, request, {
        code: REFUSAL_CODE.cancelled,
        detail: 'The caller went away',
        retryAfterMs: null,
      });
    }
    requestId = world.resumeDeadlines.takeDue(nowMs);
  }
}

function removeExpiredAnswers(world: CoreWorld): void {
  const nowMs = world.context.getNowMs();
  let requestId = world.answerExpiries.takeDue(nowMs);
  while (requestId !== null) {
    world.requests.delete(requestId);
    requestId = world.answerExpiries.takeDue(nowMs);
  }
  while (world.answeredIds[0] !== undefined && !world.requests.has(world.answeredIds[0])) {
    world.answeredIds.shift();
  }
}

/**
 * Ends requests whose deadline passed or whose caller went away, and forgets old answers.
 *
 * @param world - the core's state
 */
export function expireRequests(world: CoreWorld): void {
  applyCallerChanges(world);
  cancelAbandoned(world);
  expireDeadlines(world);
  removeExpiredAnswers(world);
}
