import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { IncarnationId, RequestId } from '../lib/ids.ts';
import { OUTCOME_UNKNOWN_REASON, type ClaimEvent } from './ClaimEvent.ts';
import type { ClaimResult } from './ClaimOperation.ts';

/** Data that decides whether a running claim is abandoned. */
export interface ClaimLiveness {
  readonly goneIncarnationIds: ReadonlySet<IncarnationId>;
  readonly maxRunMs: number;
}

/**
 * Creates the event for a request from the result of its claim.
 *
 * @param requestId - the request
 * @param result - the result of the claim
 * @param liveness - the claimers that are gone and the longest run time
 * @returns the event
 */
export function createClaimEvent(
  requestId: RequestId,
  result: ClaimResult,
  liveness: ClaimLiveness,
): ClaimEvent {
  switch (result.kind) {
    case 'granted':
    case 'stored':
      return { kind: 'granted', requestId };
    case 'completed':
      return result.outcome.kind === 'answer'
        ? { kind: 'completedBefore', requestId, answer: result.outcome.answer }
        : {
          kind: 'completedTooLarge',
          requestId,
          hostId: result.outcome.hostId,
          digest: result.outcome.digest,
        };
    case 'held': {
      const { hostId, incarnationId, ageMs } = result;
      const isAbandoned = liveness.goneIncarnationIds.has(incarnationId)
        || ageMs > liveness.maxRunMs;
      return isAbandoned
        ? { kind: 'outcomeUnknown', requestId, reason: OUTCOME_UNKNOWN_REASON.claimerGone }
        : {
          kind: 'runningElsewhere', requestId, hostId, incarnationId,
        };
    }
    case 'keyReused':
      return { kind: 'keyReused', requestId };
    case 'expired':
      return { kind: 'outcomeUnknown', requestId, reason: OUTCOME_UNKNOWN_REASON.ticketHostGone };
    case 'unavailable':
      return { kind: 'unavailable', requestId, isKeyHistoryKnown: result.isKeyHistoryKnown };
    default:
      throw exhaustiveSwitchError(result);
  }
}
