import type { Directory, KnownUpstream } from '../directory/Directory.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';

/**
 * Finds the upstreams of a pool that a placement group may use.
 *
 * @param directory - the known upstreams
 * @param poolId - a pool
 * @param domains - the failure domains of a placement group
 * @param excludedIds - upstreams to exclude
 * @returns the group's usable upstreams, or all usable ones of the pool if the group has none
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
