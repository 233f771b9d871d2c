import type { Directory } from '../directory/Directory.ts';
import type { DirectoryChange } from '../directory/DirectoryChange.ts';
import type { PoolId } from '../lib/ids.ts';

/**
 * Failure domains whose upstreams one coordinator uses together. Groups share no upstream, so that
 * each has its own placement coordinator, and results stay within a group.
 */
export interface PlacementGroup {
  /** In alphabetical order; the first one identifies the group. */
  readonly domains: readonly string[];
  /** Its share of the work: the smallest fraction that it has of any pool's upstreams. */
  readonly weight: number;
}

/** Kinds of changes after which the groups have to be found again. */
export const GROUP_CHANGES: ReadonlySet<DirectoryChange['kind']> = new Set([
  'upstream', 'upstreamGone', 'configuration', 'domainDrained', 'domainRestored', 'rolloutStatus',
]);

/**
 * Smallest number of upstreams per pool in a group. With fewer, calls are seldom full, and the loss
 * of one upstream costs too large a part of the capacity.
 */
const MIN_UPSTREAMS = 3;

interface DomainCounts {
  readonly domains: readonly string[];
  /** Upstreams listed per pool, in the order of the pools, so that all hosts find equal groups. */
  readonly counts: readonly number[];
}

/** Finds the pools that run stages, and those that are targets of a route with stages. */
function getPlacedPools(directory: Directory): PoolId[] {
  const routes = directory.configuration?.routes ?? [];
  const staged = routes.filter((route) => route.stages.length > 0);
  return [...new Set(staged.flatMap((route) => [
    ...route.stages.map((stage) => stage.poolId),
    ...route.targets.map((target) => target.poolId),
  ]))];
}

function getDomainCounts(directory: Directory, poolIds: readonly PoolId[]): DomainCounts[] {
  const byDomain = new Map<string, number[]>();
  poolIds.forEach((poolId, index) => {
    directory.getListed(poolId).forEach(({ entry }) => {
      const counts = byDomain.get(entry.failureDomain) ?? poolIds.map(() => 0);
      counts[index] = (counts[index] ?? 0) + 1;
      byDomain.set(entry.failureDomain, counts);
    });
  });
  return [...byDomain].map(([domain, counts]) => ({ domains: [domain], counts }));
}

function getScarcest({ counts }: DomainCounts): number {
  return Math.min(...counts);
}

function merge(left: DomainCounts, right: DomainCounts): DomainCounts {
  return {
    domains: [...left.domains, ...right.domains].sort(),
    counts: left.counts.map((count, index) => count + (right.counts[index] ?? 0)),
  };
}

/** Merges the two smallest groups until each is large enough. */
function mergeSmall(groups: readonly DomainCounts[]): DomainCounts[] {
  const [smallest, next, ...others] = [...groups].sort((left, right) => (
    getScarcest(left) - getScarcest(right)
    || ((left.domains[0] ?? '') < (right.domains[0] ?? '') ? -1 : 1)));
  return smallest === undefined || next === undefined || getScarcest(smallest) >= MIN_UPSTREAMS
    ? [...groups]
    : mergeSmall([merge(smallest, next), ...others]);
}

/**
 * Splits the failure domains into placement groups with different coordinators.
 *
 * Load pattern: a fleet whose placements exceed the processor or the link of one host. A fleet with
 * one or two upstreams of a pool in each failure domain stays one group, since calls are only full
 * where all the traffic of a pool is visible.
 *
 * @param directory - the configuration and the known upstreams
 * @returns the groups; empty when there is no upstream to place on
 */
export function findPlacementGroups(directory: Directory): PlacementGroup[] {
  const poolIds = getPlacedPools(directory);
  if (poolIds.length === 0) {
    return [];
  }
  const merged = mergeSmall(getDomainCounts(directory, poolIds));
  const totals = poolIds.map((_, index) => (
    merged.reduce((sum, group) => sum + (group.counts[index] ?? 0), 0)));
  return merged.map(({ domains, counts }) => ({
    domains,
    weight: Math.min(...counts.map((count, index) => count / Math.max(1, totals[index] ?? 1))),
  }));
}
