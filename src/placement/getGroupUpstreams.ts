import type { Directory, KnownUpstream } from '../directory/Directory.ts';
import type { PoolId } from '../lib/ids.ts';

/**
 * @param directory - what is known of upstreams
 * @param poolId - a pool
 * @param domains - the failure domains of a placement group
 * @returns the group's upstreams that may get new work; all of the pool's when it has none left
 */
export function getGroupUpstreams(
  directory: Directory,
  poolId: PoolId,
  domains: readonly string[],
): readonly KnownUpstream[] {
  const usable = directory.getUsable(poolId);
  const own = usable.filter(({ entry }) => domains.includes(entry.failureDomain));
  return own.length > 0 ? own : usable;
}
