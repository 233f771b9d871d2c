import { exhaustiveSwitchError } from '../../lib/exhaustiveSwitchError.ts';
import { ATTEMPT_FAILURE, type AttemptFailure } from '../../upstreams/AttemptFailure.ts';
import { COLD_REASON, type ColdReason } from '../ColdReason.ts';

/**
 * @param failure - how an attempt failed
 * @returns why a cold or warming upstream has to pause after it; null when it need not
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
