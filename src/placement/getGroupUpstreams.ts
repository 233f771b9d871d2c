import type { Directory, KnownUpstream } from '../directory/Directory.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';

/**
 * @param directory - what is known of upstreams
 * @param poolId - a pool
 * @param domains - the failure domains of a placement group
 * @param excludedIds - upstreams that are not to be used
 * @returns the group's upstreams that may get new work; all of the pool's when it has none left
 */
export function getGroupUpstreams(
  directory: Directory,
  poolId: PoolId,
  domains: readonly string[],
  excludedIds: readonly UpstreamId[] = [],
): readonly KnownUpstream[] {
  const usable = directory.getUsable(poolId)
    .filter(({ entry }) => !excludedIds.includes(entry.id));
  const own = usable.filter(({ entry }) => domains.includes(entry.failureDomain));
  return own.length > 0 ? own : usable;
}
