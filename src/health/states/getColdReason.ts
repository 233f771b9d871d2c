import { exhaustiveSwitchError } from '../../lib/exhaustiveSwitchError.ts';
import { ATTEMPT_FAILURE, type AttemptFailure } from '../../upstreams/AttemptFailure.ts';
import { COLD_REASON, type ColdReason } from '../ColdReason.ts';

/**
 * Gets the reason for which a failed attempt puts a cold or warming upstream on hold.
 *
 * @param failure - the failure of the attempt
 * @returns the reason; null if the failure causes no hold
 */
export function getColdReason(failure: AttemptFailure): ColdReason | null {
  switch (failure) {
    case ATTEMPT_FAILURE.unreachable:
      return COLD_REASON.unreachable;
    case ATTEMPT_FAILURE.refused:
      return COLD_REASON.refused;
    case ATTEMPT_FAILURE.crashed:
    case ATTEMPT_FAILURE.truncated:
      return COLD_REASON.crashed;
    case ATTEMPT_FAILURE.timedOut:
    case ATTEMPT_FAILURE.errored:
      return COLD_REASON.slowAnswers;
    case ATTEMPT_FAILURE.rejected:
      return null;
    default:
      throw exhaustiveSwitchError(failure);
  }
}
