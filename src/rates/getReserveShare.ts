import type { HostId, UpstreamId } from '../lib/ids.ts';
import { getRendezvousScore } from '../membership/getRendezvousScore.ts';

/** The hosts among which a reserve is shared out, as one of them sees them. */
export interface ReserveHosts {
  readonly ownId: HostId;
  /** Hosts that are there now. */
  readonly presentIds: readonly HostId[];
  /** Most hosts that there were at a time. */
  readonly largestCount: number;
}

/**
 * Shares sends out that hosts may make without asking one another. Where there are more hosts than
 * sends, some hosts have one and the others none, another choice for each upstream: a share under
 * one, taken by all at the same moment, would be one each.
 *
 * @param upstreamId - the upstream that gets them
 * @param reserveCount - sends in all
 * @param hosts - the hosts
 * @returns sends of this host
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
  const aheadCount = presentIds
    .filter((id) => id !== ownId && getRendezvousScore(upstreamId, id) > ownScore)
    .length;
  return presentIds.includes(ownId) && aheadCount < reserveCount ? 1 : 0;
}
