import type { HostId, UpstreamId } from '../lib/ids.ts';
import { getRendezvousScore } from '../membership/getRendezvousScore.ts';

/** Hosts that share a reserve, in the view of one of them. */
export interface ReserveHosts {
  readonly ownId: HostId;
  /** Hosts registered now. */
  readonly presentIds: readonly HostId[];
  /** Highest number of hosts registered at one time. */
  readonly largestCount: number;
}

/**
 * Computes one host's share of the sends that need no shared permit. With more hosts than sends,
 * rendezvous hashing gives some hosts one send and the others none, by a different choice for each
 * upstream: a fractional share, used by all hosts at the same moment, would amount to one each.
 *
 * @param upstreamId - the upstream that receives the sends
 * @param reserveCount - reserve sends of all hosts together
 * @param hosts - the hosts
 * @returns reserve sends of this host
 */
export function getReserveShare(
  upstreamId: UpstreamId,
  reserveCount: number,
  { ownId, presentIds, largestCount }: ReserveHosts,
): number {
  const hostCount = Math.max(largestCount, presentIds.length, 1);
  if (reserveCount >= hostCount) {
    return Math.floor(reserveCount / hostCount);
  }
  const ownScore = getRendezvousScore(upstreamId, ownId);
  const higherScoredCount = presentIds
    .filter((id) => id !== ownId && getRendezvousScore(upstreamId, id) > ownScore)
    .length;
  return presentIds.includes(ownId) && higherScoredCount < reserveCount ? 1 : 0;
}
