import type { HostId, UpstreamId } from '../lib/ids.ts';

/** The host that hands out the slots of a cold upstream. */
export interface GrantCoordinatorHost {
  readonly hostId: HostId;
  /** `IP:port` of the host's peer listener. */
  readonly address: string;
}

/** This host's duty as the steward of an upstream. */
export interface GrantCoordinatorDuty {
  /** Grows with each change of the steward. */
  readonly epoch: number;
  /** Monotonic time since when this host has the duty. */
  readonly sinceMs: number;
  /**
   * Monotonic time until which no other host can have it: the end of its lease. A steward grants
   * nothing after it, so that a paused one which wakes can do no harm.
   */
  readonly untilMs: number;
}

/** Who is steward of which upstream, as this host sees it now. */
export interface GrantCoordinatorDirectory {
  /**
   * @param upstreamId - the upstream
   * @returns its steward; null when no host of its failure domain is known to be alive
   */
  getGrantCoordinator(upstreamId: UpstreamId): GrantCoordinatorHost | null;
  /**
   * @param upstreamId - the upstream
   * @returns this host's duty as its steward; null when another host has it
   */
  getOwnDuty(upstreamId: UpstreamId): GrantCoordinatorDuty | null;
  /**
   * @param hostId - a host that has sent a message
   * @returns `IP:port` of its peer listener; empty when it is not known
   */
  getAddress(hostId: HostId): string;
  /**
   * @returns how many entry hosts may send to upstreams at most, for the share of a host that
   *   reaches no steward; never lower than the true number
   */
  getHostCountBound(): number;
}
