import type { CoreWorld } from '../CoreWorld.ts';
import { requestClaim } from '../requests/startStage.ts';
import { REQUEST_STATE } from '../tables/RequestRecord.ts';

/**
 * Asks again for the claims of requests whose key was running elsewhere.
 *
 * @param world - the core's state
 */
export function retryClaims(world: CoreWorld): void {
  const nowMs = world.context.getNowMs();
  let requestId = world.claimRetries.takeDue(nowMs);
  while (requestId !== null) {
    const request = world.requests.get(requestId);
    if (request?.state === REQUEST_STATE.following) {
      requestClaim(world, request);
    }
    requestId = world.claimRetries.takeDue(nowMs);
  }
}
