import { getRendezvousScore } from '../membership/getRendezvousScore.ts';
import type { PlacementGroup } from './PlacementGroup.ts';

/** Keeps the logarithm of a score finite. */
const MIN_SCORE = 1e-9;

/** Weighted rendezvous hashing: the least comes first; a group gets its weight's share of keys. */
function getRank(key: string, { domains, weight }: PlacementGroup): number {
  const score = Math.max(MIN_SCORE, getRendezvousScore(key, domains[0] ?? ''));
  return weight > 0 ? -Math.log(score) / weight : Infinity;
}

/**
 * Orders groups for a request. Requests of one session begin at the same group, where engines keep
 * what they have read of it, and every group gets the share of sessions that it can do.
 *
 * @param groups - the groups
 * @param sessionKey - what requests of one session have in common
 * @returns the group to ask first, and those after it in turn
 */
export function orderGroups(
  groups: readonly PlacementGroup[],
  sessionKey: string,
): PlacementGroup[] {
  return [...groups].sort((left, right) => getRank(sessionKey, left) - getRank(sessionKey, right));
}
