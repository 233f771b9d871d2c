import type { HostId } from '../lib/ids.ts';

/** Duration of a lease. A coordinator that falls silent has lost all leases by then. */
export const LEASE_MS = 3_000;

/** A moment at a coordinator, by the monotonic clock of its process. */
export interface CoordinatorMoment {
  /** Differs for each process. */
  readonly processId: string;
  readonly atMs: number;
}

/** A host leases its quotas at the upstreams of a placement group to the group's coordinator. */
export interface LeaseOffer {
  readonly hostId: HostId;
  /** The group's failure domains; empty for all. */
  readonly domains: readonly string[];
  /**
   * A moment before the offer: the host has it from the coordinator's last answer. The lease ends
   * {@link LEASE_MS} after it, so that it never ends at the coordinator after it ends at the host,
   * however late the offer arrives. Null when the host only asks for a moment.
   */
  readonly since: CoordinatorMoment | null;
  /** Whether the host takes its quotas back instead, since another coordinator places there. */
  readonly isReturned?: boolean;
}

/**
 * @param left - failure domains of a group; empty for all
 * @param right - failure domains of another group; empty for all
 * @returns whether an upstream may be in both
 */
export function areOverlapping(left: readonly string[], right: readonly string[]): boolean {
  return left.length === 0 || right.length === 0 || left.some((domain) => right.includes(domain));
}
