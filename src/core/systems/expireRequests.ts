import { REFUSAL_CODE } from '../../answers/REFUSAL_CODE.ts';
import { takeAll } from '../CoreInbox.ts';
import type { CoreWorld } from '../CoreWorld.ts';
import { refuseRequest } from '../requests/finishRequest.ts';
import { REQUEST_STATE } from '../tables/RequestRecord.ts';

function expireDeadlines(world: CoreWorld): void {
  const nowMs = world.context.getNowMs();
  let requestId = world.deadlines.takeDue(nowMs);
  while (requestId !== null) {
    const request = world.requests.get(requestId);
    if (request !== undefined && request.state !== REQUEST_STATE.answered) {
      refuseRequest(world, request, {
        code: REFUSAL_CODE.deadlineExceeded,
        detail: `The deadline passed in stage ${request.stages[request.stageIndex]?.stage.id}`,
        retryAfterMs: world.options.defaultRetryAfterMs,
      });
    }
    requestId = world.deadlines.takeDue(nowMs);
  }
}

function cancelAbandoned(world: CoreWorld): void {
  takeAll(world.inbox.abandoned).forEach(({ requestId }) => {
    const request = world.requests.get(requestId);
    // A non-repeatable stage that was sent runs to its end, so that its outcome can be recorded.
    if (request === undefined || request.answer !== null || request.mayHaveRun) {
      return;
    }
    refuseRequest(world, request, {
      code: REFUSAL_CODE.cancelled,
      detail: 'The caller went away',
      retryAfterMs: null,
    });
  });
}

function forgetAnswers(world: CoreWorld): void {
  const nowMs = world.context.getNowMs();
  let requestId = world.forgettings.takeDue(nowMs);
  while (requestId !== null) {
    world.requests.delete(requestId);
    requestId = world.forgettings.takeDue(nowMs);
  }
  while (world.answered[0] !== undefined && !world.requests.has(world.answered[0])) {
    world.answered.shift();
  }
}

/**
 * Ends requests whose deadline passed or whose caller went away, and forgets old answers.
 *
 * @param world - the core's state
 */
export function expireRequests(world: CoreWorld): void {
  cancelAbandoned(world);
  expireDeadlines(world);
  forgetAnswers(world);
}
