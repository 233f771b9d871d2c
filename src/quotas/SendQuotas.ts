import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import { getRendezvousScore } from '../membership/getRendezvousScore.ts';

/** Bound on the sends of all hosts together to one cold upstream. */
export interface ColdStartBounds {
  /** Multiple of its cold start limit that a cold upstream may receive in a second. */
  readonly coldOvershoot: number;
  /** Further requests that it may receive in a second. */
  readonly coldSlack: number;
}

/** Sends to one upstream within a window. */
export interface SendQuota {
  /** Sends that the host decides on by itself. */
  readonly ownCount: number;
  /** Sends that it leases to the placement coordinator of the upstream's group. */
  readonly leasedCount: number;
}

/**
 * Window of a quota. Slightly longer than the second that the limit applies to, by the longest time
 * between the grant of a send and the send.
 */
export const QUOTA_WINDOW_MS = 1_120;
/** Fraction of a bound that is used; the rest is for hosts whose views of the hosts differ. */
const USED_FRACTION = 0.97;
/** Fraction of what is used that hosts don't lease. */
const OWN_FRACTION = 0.25;

const NO_QUOTA: SendQuota = { ownCount: 0, leasedCount: 0 };

function getPart(count: number, hostCount: number, rank: number): number {
  return Math.floor(count / hostCount) + Number(rank < count % hostCount);
}

/**
 * Divides the sends that an upstream may receive while it is cold among the hosts. An upstream
 * becomes cold without notice, so that the division always applies. The quotas of all hosts add up
 * to no more than the bound at any number of hosts: what is left by equal parts goes to some of
 * them by rendezvous hashing, to different ones for each upstream.
 */
export class SendQuotas {
  readonly #directory: Directory;

  readonly #bounds: ColdStartBounds;

  /** The hosts whose places are computed. */
  #hostIds: ReadonlySet<HostId> = new Set();

  /** Place of each host in the order of an upstream; empty after the hosts have changed. */
  readonly #ranks = new Map<UpstreamId, ReadonlyMap<HostId, number>>();

  /**
   * @param directory - provides the hosts and the cold start limits of pools
   * @param bounds - what a limit allows in a second
   */
  constructor(directory: Directory, bounds: ColdStartBounds) {
    this.#directory = directory;
    this.#bounds = bounds;
    directory.onChange((change) => {
      // A host that is known changes its entry often, and its place never.
      const isNew = change.kind === 'host' && !this.#hostIds.has(change.entry.id);
      if (isNew || change.kind === 'hostGone') {
        this.#ranks.clear();
        this.#hostIds = new Set(directory.hosts.keys());
      }
    });
  }

  /**
   * @param poolId - a pool
   * @returns whether its upstreams have a cold start limit
   */
  isBounded(poolId: PoolId): boolean {
    return this.#getColdRequestsPerSecond(poolId) > 0;
  }

  /**
   * @param entry - an upstream of a bounded pool
   * @param hostId - a host
   * @returns the host's quota
   */
  get(entry: UpstreamEntry, hostId: HostId): SendQuota {
    const rank = this.#getRanks(entry.id).get(hostId);
    if (rank === undefined) {
      return NO_QUOTA;
    }
    const { coldOvershoot, coldSlack } = this.#bounds;
    const allowed = this.#getColdRequestsPerSecond(entry.poolId) * coldOvershoot + coldSlack;
    const usedCount = Math.max(1, Math.floor(allowed * USED_FRACTION));
    const ownCount = Math.floor(usedCount * OWN_FRACTION);
    const hostCount = Math.max(this.#directory.largestHostCount, this.#directory.hosts.size);
    return {
      ownCount: getPart(ownCount, hostCount, rank),
      leasedCount: getPart(usedCount - ownCount, hostCount, rank),
    };
  }

  #getColdRequestsPerSecond(poolId: PoolId): number {
    return this.#directory.configuration?.pools.get(poolId)?.coldRequestsPerSecond ?? 0;
  }

  #getRanks(upstreamId: UpstreamId): ReadonlyMap<HostId, number> {
    const known = this.#ranks.get(upstreamId);
    if (known !== undefined) {
      return known;
    }
    const ranks = new Map([...this.#directory.hosts.keys()]
      .map((hostId) => ({ hostId, score: getRendezvousScore(upstreamId, hostId) }))
      .sort((left, right) => right.score - left.score)
      .map(({ hostId }, rank) => [hostId, rank]));
    this.#ranks.set(upstreamId, ranks);
    return ranks;
  }
}
