import type { AttemptEndedInput } from '../CoreInbox.ts';
import type { CoreWorld } from '../CoreWorld.ts';
import type { AttemptRecord } from '../tables/AttemptRecord.ts';
import type { RequestRecord } from '../tables/RequestRecord.ts';
import { createCompletedAnswer } from './finishRequest.ts';

/**
 * Records the outcome of a key whose caller was answered before its non-repeatable attempt ended:
 * a late result of the last stage is what retries of the key get; otherwise they get what the
 * caller got.
 *
 * @param world - the core's state
 * @param attempt - the attempt that ended, or is no longer waited for
 * @param request - its request
 * @param input - how it ended; null when its end never became known
 */
export function recordLateOutcome(
  world: CoreWorld,
  attempt: AttemptRecord,
  request: RequestRecord,
  input: AttemptEndedInput | null,
): void {
  attempt.decidesOutcome = false;
  const isWhole = attempt.stageIndex + 1 === request.stages.length;
  if (input?.kind === 'attemptSucceeded' && isWhole) {
    world.claims.recordOutcome(request.requestId, createCompletedAnswer(request, input.output));
  } else if (request.answer !== null) {
    world.claims.recordOutcome(request.requestId, request.answer);
  }
}
