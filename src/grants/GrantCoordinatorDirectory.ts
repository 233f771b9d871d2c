import type { HostId, UpstreamId } from '../lib/ids.ts';

/** The host that grants the slots of a cold upstream. */
export interface GrantCoordinatorHost {
  readonly hostId: HostId;
  /** `IP:port` of the host's peer listener. */
  readonly address: string;
}

/** This host's duty as the grant coordinator of an upstream. */
export interface GrantCoordinatorDuty {
  /** Increases with each change of the coordinator. */
  readonly epoch: number;
  /** Monotonic time at which this host received the duty. */
  readonly sinceMs: number;
  /**
   * Monotonic time until which no other host can have the duty: the end of its lease. A
   * coordinator grants nothing afterwards, which makes a resumed process that was paused harmless.
   */
  readonly untilMs: number;
}

/** The grant coordinator of each upstream, according to this host's current view. */
export interface GrantCoordinatorDirectory {
  /**
   * @param upstreamId - the upstream
   * @returns its grant coordinator; null when no host of its failure domain is known to be alive
   */
  getGrantCoordinator(upstreamId: UpstreamId): GrantCoordinatorHost | null;
  /**
   * @param upstreamId - the upstream
   * @returns this host's duty as its coordinator; null when this host does not have it
   */
  getOwnDuty(upstreamId: UpstreamId): GrantCoordinatorDuty | null;
  /**
   * @param hostId - a host that has sent a message
   * @returns `IP:port` of its peer listener; empty when unknown
   */
  getAddress(hostId: HostId): string;
  /**
   * @returns upper bound on the number of entry hosts that may send to upstreams, which limits the
   *   share of a host that reaches no coordinator; never lower than the true number
   */
  getHostCountBound(): number;
}
