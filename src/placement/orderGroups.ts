import { getRendezvousScore } from '../membership/getRendezvousScore.ts';
import type { PlacementGroup } from './PlacementGroup.ts';

/** Lower bound of a score, which keeps its logarithm finite. */
const MIN_SCORE = 1e-9;

/** Weighted rendezvous hashing: lowest rank first; a group gets its weight's share of the keys. */
function getRank(key: string, { domains, weight }: PlacementGroup): number {
  const score = Math.max(MIN_SCORE, getRendezvousScore(key, domains[0] ?? ''));
  return weight > 0 ? -Math.log(score) / weight : Infinity;
}

/**
 * Orders groups for a request. Requests of one session start with the same group, whose engines
 * cache its prompt, and each group gets a share of the sessions in proportion to its weight.
 *
 * @param groups - the groups
 * @param sessionKey - the key that requests of one session share
 * @returns the groups in the order in which to try them
 */
export function orderGroups(
  groups: readonly PlacementGroup[],
  sessionKey: string,
): PlacementGroup[] {
  return [...groups].sort((left, right) => getRank(sessionKey, left) - getRank(sessionKey, right));
}
