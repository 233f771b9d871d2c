import type { ClaimEvent, OutcomeUnknownReason } from '../../claims/ClaimEvent.ts';
import { REFUSAL_CODE } from '../../answers/REFUSAL_CODE.ts';
import { exhaustiveSwitchError } from '../../lib/exhaustiveSwitchError.ts';
import type { CoreWorld } from '../CoreWorld.ts';
import { explain } from '../requests/explain.ts';
import { answerRequest, refuseRequest } from '../requests/finishRequest.ts';
import { startStage } from '../requests/startStage.ts';
import { REQUEST_STATE, type RequestRecord } from '../tables/RequestRecord.ts';

const UNKNOWN_DETAIL: Record<OutcomeUnknownReason, string> = {
  claimerGone: 'The host that ran this key is gone; check the outcome before using another key',
  keyExpired: 'The key is older than outcomes are kept',
  ticketHostGone: 'The host that issued this ticket is gone or out of reach',
};

function applyClaimEvent(world: CoreWorld, request: RequestRecord, event: ClaimEvent): void {
  const { options } = world;
  explain(request, world.context.getNowMs(), 'claim', event.kind);
  switch (event.kind) {
    case 'granted':
      request.isClaimed = true;
      startStage(world, request);
      return;
    case 'completedBefore':
      answerRequest(world, request, event.answer);
      return;
    case 'completedTooLarge':
      refuseRequest(world, request, {
        code: REFUSAL_CODE.outcomeUnknown,
        detail: `The key ran at host ${event.hostId}; its answer was too large to keep`,
        retryAfterMs: null,
      }, false);
      return;
    case 'runningElsewhere':
      request.state = REQUEST_STATE.following;
      world.claimRetries.add(
        request.requestId,
        world.context.getNowMs() + options.claimRetryPeriodMs,
      );
      return;
    case 'outcomeUnknown':
      refuseRequest(world, request, {
        code: REFUSAL_CODE.outcomeUnknown,
        detail: UNKNOWN_DETAIL[event.reason],
        retryAfterMs: null,
      }, false);
      return;
    case 'keyReused':
      refuseRequest(world, request, {
        code: REFUSAL_CODE.keyReused,
        detail: 'The key was used with another input',
        retryAfterMs: null,
      }, false);
      return;
    case 'unavailable':
      refuseRequest(world, request, {
        code: REFUSAL_CODE.claimUnavailable,
        detail: 'The platform does not answer, so that the request can not be claimed; '
          + 'nothing was sent for it now',
        retryAfterMs: options.defaultRetryAfterMs,
      }, event.isKeyHistoryKnown);
      return;
    default:
      throw exhaustiveSwitchError(event);
  }
}

/**
 * Carries on the requests whose claim was decided.
 *
 * @param world - the core's state
 */
export function applyClaimEvents(world: CoreWorld): void {
  world.claims.takeEvents().forEach((event) => {
    const request = world.requests.get(event.requestId);
    if (request?.state === REQUEST_STATE.claiming) {
      applyClaimEvent(world, request, event);
    } else if (event.kind === 'granted') {
      // The request was answered while its claim was under way, so it will never be sent.
      world.claims.releaseNotRun(event.requestId);
    }
  });
}
