import type { CoreWorld } from '../CoreWorld.ts';
import type { RequestRecord } from '../tables/RequestRecord.ts';

/**
 * Gives up the attempt that a request has with an upstream. Its record stays until its end is
 * known, so that its cost is still booked. An attempt which decides a key's outcome runs on.
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
