import type { CoreWorld } from '../CoreWorld.ts';

/**
 * Completes a requested stop once the grace period is over and no request or attempt is running.
 *
 * @param world - the core's state
 */
export function stopHost(world: CoreWorld): void {
  const { leavingSinceMs, options, context } = world;
  if (!world.isStopping || world.isStopped || leavingSinceMs === null) {
    return;
  }
  const isGraceOver = context.getNowMs() >= leavingSinceMs + options.leaveGraceMs;
  if (isGraceOver && world.inFlightCount === 0 && world.attempts.size === 0) {
    world.isStopped = true;
    context.emit({ kind: 'stopped' });
  }
}
