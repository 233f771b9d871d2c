import type { HostId, UpstreamId } from '../lib/ids.ts';

/** The host that hands out the slots of a cold upstream. */
export interface Steward {
  readonly hostId: HostId;
  /** `IP:port` of the host's peer listener. */
  readonly address: string;
}

/** Who is steward of which upstream, as this host sees it now. */
export interface StewardDirectory {
  /**
   * @param upstreamId - the upstream
   * @returns its steward; null when no host of its failure domain is known to be alive
   */
  getSteward(upstreamId: UpstreamId): Steward | null;
  /**
   * @returns how many entry hosts may send to upstreams at most, for the share of a host that
   *   reaches no steward; never lower than the true number
   */
  getHostCountBound(): number;
}
