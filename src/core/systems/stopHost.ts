import type { CoreWorld } from '../CoreWorld.ts';

/**
 * Ends a planned stop once the grace is over and nothing runs any more.
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
