import { REFUSAL_CODE } from '../../answers/REFUSAL_CODE.ts';
import type { CoreWorld } from '../CoreWorld.ts';
import { refuseRequest } from '../requests/finishRequest.ts';

/**
 * Refuses requests that waited so long that their remaining stages no longer fit.
 *
 * @param world - the core's state
 */
export function expireQueued(world: CoreWorld): void {
  const nowMs = world.context.getNowMs();
  [...world.pools.getRows()].forEach(({ poolId, queue }) => {
    queue.takeExpired(nowMs).forEach(({ payload }) => refuseRequest(world, payload, {
      code: REFUSAL_CODE.deadlineUnreachable,
      detail: `No upstream of pool ${poolId} became free in time`,
      retryAfterMs: world.options.defaultRetryAfterMs,
    }));
  });
}

/**
 * @param world - the core's state
 * @returns when the next waiting stage expires; Infinity for none
 */
export function getNextQueueExpiryMs(world: CoreWorld): number {
  return Math.min(Infinity, ...[...world.pools.getRows()].map(({ queue }) => (
    queue.getNextExpiryMs()
  )));
}
