import type { CoreWorld } from '../CoreWorld.ts';
import type { RequestRecord } from '../tables/RequestRecord.ts';

/**
 * Detaches a request from its running attempt. The attempt's record remains until its end is
 * known, so that its cost is still recorded. The attempt is cancelled unless it decides a key's
 * outcome.
 *
 * @param world - the core's state
 * @param request - the request
 */
export function abandonAttempt(world: CoreWorld, request: RequestRecord): void {
  const attempt = request.attemptId === null ? undefined : world.attempts.get(request.attemptId);
  request.attemptId = null;
  if (attempt === undefined) {
    return;
  }
  attempt.isWanted = false;
  if (!attempt.decidesOutcome) {
    world.context.emit({ kind: 'cancelAttempt', attemptId: attempt.attemptId });
  }
}
