import type { CoreWorld } from '../CoreWorld.ts';
import { recordLateOutcome } from '../requests/recordLateOutcome.ts';

/**
 * Forgets attempts that timed out and did not end since.
 *
 * @param world - the core's state
 */
export function expireAttempts(world: CoreWorld): void {
  const nowMs = world.context.getNowMs();
  let attemptId = world.lateAttempts.takeDue(nowMs);
  while (attemptId !== null) {
    const attempt = world.attempts.get(attemptId);
    const request = attempt === undefined ? undefined : world.requests.get(attempt.requestId);
    if (attempt?.decidesOutcome === true && request !== undefined) {
      recordLateOutcome(world, attempt, request, null);
    }
    world.attempts.delete(attemptId);
    attemptId = world.lateAttempts.takeDue(nowMs);
  }
}
