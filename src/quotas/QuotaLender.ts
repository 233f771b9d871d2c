import type { HostId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import {
  areOverlapping, LEASE_MS, type CoordinatorMoment, type LeaseOffer,
} from './QuotaLease.ts';
import { QUOTA_WINDOW_MS } from './SendQuotas.ts';

/** A lease of this host's quotas. */
export interface Lease {
  readonly coordinatorId: HostId;
  /** The coordinator's process, which alone knows what it has granted. */
  readonly processId: string;
  readonly domains: readonly string[];
  /** When the coordinator no longer uses it, at the latest. */
  readonly untilMs: number;
}

/** Leases this host's quotas; each is leased to one coordinator at a time. */
export class QuotaLender {
  readonly #clock: Clock;

  readonly #hostId: HostId;

  readonly #moments = new Map<HostId, CoordinatorMoment>();

  #leases: Lease[] = [];

  #endedListener: (() => void) | null = null;

  /** When this host last sent by a quota that it may lease. */
  #usedAtMs = -Infinity;

  /**
   * @param clock - the monotonic time
   * @param hostId - this host
   */
  constructor(clock: Clock, hostId: HostId) {
    this.#clock = clock;
    this.#hostId = hostId;
  }

  /** @param listener - called when a coordinator uses no lease any more */
  onEnded(listener: () => void): void {
    this.#endedListener = listener;
  }

  /**
   * Creates an offer that is sent now.
   *
   * @param coordinatorId - the coordinator of a placement group
   * @param domains - the group's failure domains
   * @returns the offer; it leases nothing while another coordinator may use the same quotas
   */
  createOffer(coordinatorId: HostId, domains: readonly string[]): LeaseOffer {
    const nowMs = this.#clock.getMonotonicMs();
    // Sends that were granted at the end of a lease count until the end of their window.
    this.#leases = this.#leases.filter(({ untilMs }) => untilMs + QUOTA_WINDOW_MS > nowMs);
    const moment = this.#moments.get(coordinatorId) ?? null;
    const isLeasedElsewhere = this.#leases.some((lease) => (
      lease.processId !== moment?.processId && areOverlapping(lease.domains, domains)));
    const isInUse = isLeasedElsewhere || this.#usedAtMs + QUOTA_WINDOW_MS > nowMs;
    const since = isInUse ? null : moment;
    if (since !== null) {
      const { processId } = since;
      this.#leases.push({
        coordinatorId, processId, domains, untilMs: nowMs + LEASE_MS,
      });
    }
    return { hostId: this.#hostId, domains, since };
  }

  /**
   * @param coordinatorId - a coordinator
   * @param moment - the moment of its answer to an offer
   * @returns whether it is the first one of the coordinator's process
   */
  recordMoment(coordinatorId: HostId, moment: CoordinatorMoment): boolean {
    const known = this.#moments.get(coordinatorId);
    if (known !== undefined && known.processId !== moment.processId) {
      this.recordEnded(coordinatorId);
    }
    this.#moments.set(coordinatorId, moment);
    return known?.processId !== moment.processId;
  }

  /**
   * @param current - the coordinators that place now, with the domains of their groups
   * @returns the leases of other coordinators at the same upstreams, one for each
   */
  findOutdated(current: readonly Pick<Lease, 'coordinatorId' | 'domains'>[]): Lease[] {
    const nowMs = this.#clock.getMonotonicMs();
    const outdated = this.#leases.filter((lease) => lease.untilMs > nowMs
      && current.some(({ coordinatorId, domains }) => (
        coordinatorId !== lease.coordinatorId && areOverlapping(domains, lease.domains))));
    return [...new Map(outdated.map((lease) => (
      [`${lease.coordinatorId} ${lease.domains[0] ?? ''}`, lease]))).values()];
  }

  /** @param returned - a lease that its coordinator no longer uses */
  recordReturned(returned: Lease): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.#leases = this.#leases.map((lease) => (
      lease.processId === returned.processId && lease.domains[0] === returned.domains[0]
        ? { ...lease, untilMs: Math.min(lease.untilMs, nowMs) }
        : lease));
    this.#endedListener?.();
  }

  /**
   * @param domain - a failure domain
   * @returns whether this host may use its quotas there that it would lease: no coordinator has or
   * is about to get them
   */
  mayUse(domain: string): boolean {
    const nowMs = this.#clock.getMonotonicMs();
    return this.#moments.size === 0 && !this.#leases.some(({ domains, untilMs }) => (
      untilMs + QUOTA_WINDOW_MS > nowMs && areOverlapping(domains, [domain])));
  }

  /** Records a send by a quota that this host may lease. */
  recordUse(): void {
    this.#usedAtMs = this.#clock.getMonotonicMs();
  }

  /** @param coordinatorId - a coordinator that takes no offers at present */
  recordUnavailable(coordinatorId: HostId): void {
    this.#moments.delete(coordinatorId);
  }

  /** @param coordinatorId - a coordinator that uses no lease any more, as its process has ended */
  recordEnded(coordinatorId: HostId): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.recordUnavailable(coordinatorId);
    this.#leases = this.#leases.map((lease) => (lease.coordinatorId === coordinatorId
      ? { ...lease, untilMs: Math.min(lease.untilMs, nowMs) }
      : lease));
    this.#endedListener?.();
  }
}
