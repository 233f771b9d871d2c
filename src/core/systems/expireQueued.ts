import { REFUSAL_CODE } from '../../answers/REFUSAL_CODE.ts';
import type { CoreWorld } from '../CoreWorld.ts';
import { refuseRequest } from '../requests/finishRequest.ts';

/**
 * Refuses queued requests whose remaining stages can no longer meet the deadline.
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
 * @returns time at which the next queued stage expires; Infinity for none
 */
export function getNextQueueExpiryMs(world: CoreWorld): number {
  return Math.min(Infinity, ...[...world.pools.getRows()].map(({ queue }) => (
    queue.getNextExpiryMs()
  )));
}
