import type { Directory, KnownUpstream } from '../directory/Directory.ts';
import type { PlacementRequest } from './PlacementRequest.ts';

/** The upstreams that a placement group may use for a request. */
export type GroupUpstreamQuery = Pick<PlacementRequest, 'poolId' | 'domains'>
  & Partial<Pick<PlacementRequest, 'excludedIds' | 'softwareVersion'>>;

/**
 * Finds the upstreams of a pool that a placement group may use.
 *
 * @param directory - the known upstreams
 * @param query - the pool, the failure domains of the group, and what is excluded
 * @returns the group's usable upstreams, or all usable ones of the pool if the group has none
 */
export function getGroupUpstreams(
  directory: Directory,
  {
    poolId, domains, excludedIds = [], softwareVersion = null,
  }: GroupUpstreamQuery,
): readonly KnownUpstream[] {
  const usable = directory.getUsable(poolId)
    .filter(({ entry }) => !excludedIds.includes(entry.id))
    .filter(({ entry }) => softwareVersion === null || entry.softwareVersion === softwareVersion);
  const own = usable.filter(({ entry }) => domains.includes(entry.failureDomain));
  return own.length > 0 ? own : usable;
}
