import { randomUUID } from 'node:crypto';
import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { HostId, UpstreamId } from '../lib/ids.ts';
import { ReserveSends } from '../rates/ReserveSends.ts';
import type { Clock } from '../time/Clock.ts';
import { LEASE_MS, type CoordinatorMoment, type LeaseOffer } from './QuotaLease.ts';
import { QUOTA_WINDOW_MS, type SendQuotas } from './SendQuotas.ts';

/** Whose quota a send uses. */
export type QuotaSource =
  /** One that hosts have leased to the coordinator. */
  | 'leased'
  /** That of the host which sends. */
  | 'own';

interface BorrowedLease {
  readonly domains: readonly string[];
  readonly untilMs: number;
  /** When the host last took its quotas back; offers that it made before may still arrive. */
  readonly returnedAtMs: number;
}

interface BorrowedCount {
  readonly count: number;
  readonly untilMs: number;
}

/** Time for which the sum of the leased quotas of an upstream is not computed again. */
const MAX_COUNT_TTL_MS = 100;

/** Returns the end of the last lease of a host that covers a failure domain; 0 for none. */
function getLeaseEnd(leases: ReadonlyMap<string, BorrowedLease>, failureDomain: string): number {
  return Math.max(0, ...[...leases.values()]
    .filter(({ domains }) => domains.length === 0 || domains.includes(failureDomain))
    .map(({ untilMs }) => untilMs));
}

/** Grants sends to upstreams with a cold start limit, within the quotas that hosts have leased. */
export class QuotaBorrower {
  readonly #clock: Clock;

  readonly #quotas: SendQuotas;

  readonly #processId = randomUUID();

  /** By host and the first failure domain of the group. */
  readonly #leases = new Map<HostId, Map<string, BorrowedLease>>();

  /** Grants by leased quotas. */
  readonly #grants: ReserveSends;

  /** Grants by the own quotas of the hosts that send. */
  readonly #ownGrants = new Map<HostId, ReserveSends>();

  #isOpen = true;

  /** When it was last opened; leases that start before are not used. */
  #openedAtMs = -Infinity;

  /** Sums of the leased quotas. */
  readonly #counts = new Map<UpstreamId, BorrowedCount>();

  /**
   * @param clock - the monotonic time
   * @param directory - tells when hosts are gone
   * @param quotas - the quotas of the hosts
   */
  constructor(clock: Clock, directory: Directory, quotas: SendQuotas) {
    this.#clock = clock;
    this.#quotas = quotas;
    this.#grants = new ReserveSends(clock);
    directory.onChange((change) => {
      if (change.kind === 'hostGone') {
        this.#leases.delete(change.hostId);
        this.#ownGrants.delete(change.hostId);
      }
    });
  }

  /** Whether hosts may lease their quotas. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** @param isOpen - whether it takes leases from now on; those of before are not used again */
  setOpen(isOpen: boolean): void {
    this.#isOpen = isOpen;
    this.#openedAtMs = this.#clock.getMonotonicMs();
    this.#leases.clear();
    this.#counts.clear();
  }

  /** This moment, as a start of leases. */
  get moment(): CoordinatorMoment {
    return { processId: this.#processId, atMs: this.#clock.getMonotonicMs() };
  }

  /**
   * Takes the lease that a host offers.
   *
   * @param offer - the offer
   * @returns the moment for the host's next offer
   */
  accept({
    hostId, domains, since, isReturned = false,
  }: LeaseOffer): CoordinatorMoment {
    const { moment } = this;
    const leases = this.#leases.get(hostId) ?? new Map<string, BorrowedLease>();
    this.#leases.set(hostId, leases);
    const key = domains[0] ?? '';
    const returnedAtMs = leases.get(key)?.returnedAtMs ?? -Infinity;
    if (isReturned) {
      leases.set(key, { domains, untilMs: -Infinity, returnedAtMs: moment.atMs });
      this.#counts.clear();
    } else if (this.#isStart(since) && since.atMs >= returnedAtMs) {
      leases.set(key, { domains, untilMs: since.atMs + LEASE_MS, returnedAtMs });
    }
    return moment;
  }

  /** Whether a moment is one of this process. */
  #isStart(since: CoordinatorMoment | null): since is CoordinatorMoment {
    return since !== null
      && since.processId === this.#processId
      && since.atMs >= this.#openedAtMs
      && since.atMs <= this.#clock.getMonotonicMs();
  }

  /**
   * @param entry - an upstream
   * @param hostId - the host that sends
   * @returns whether it may send there now
   */
  isOpenTo(entry: UpstreamEntry, hostId: HostId): boolean {
    return !this.#quotas.isBounded(entry.poolId)
      || this.#hasLeased(entry)
      || this.#hasOwn(entry, hostId);
  }

  /**
   * Takes the quota for one send.
   *
   * @param entry - an upstream that is open to the host
   * @param hostId - the host that sends
   * @returns whose quota it is; null if the upstream has no limit
   */
  take(entry: UpstreamEntry, hostId: HostId): QuotaSource | null {
    if (!this.#quotas.isBounded(entry.poolId)) {
      return null;
    }
    if (this.#hasLeased(entry)) {
      this.#grants.record(entry.id);
      return 'leased';
    }
    this.#getOwnGrants(hostId).record(entry.id);
    return 'own';
  }

  /** Whether the host that sends has an own quota left, as far as its grants here tell. */
  #hasOwn(entry: UpstreamEntry, hostId: HostId): boolean {
    const { ownCount } = this.#quotas.get(entry, hostId);
    return ownCount > 0
      && this.#getOwnGrants(hostId).getWaitMs(entry.id, ownCount, QUOTA_WINDOW_MS) === 0;
  }

  #getOwnGrants(hostId: HostId): ReserveSends {
    const known = this.#ownGrants.get(hostId);
    if (known !== undefined) {
      return known;
    }
    const created = new ReserveSends(this.#clock);
    this.#ownGrants.set(hostId, created);
    return created;
  }

  #hasLeased(entry: UpstreamEntry): boolean {
    return this.#grants.getWaitMs(entry.id, this.#getLeasedCount(entry), QUOTA_WINDOW_MS) === 0;
  }

  /** Adds up the quotas that are leased; the sum holds until the first of the leases ends. */
  #getLeasedCount(entry: UpstreamEntry): number {
    const nowMs = this.#clock.getMonotonicMs();
    const known = this.#counts.get(entry.id);
    if (known !== undefined && nowMs < known.untilMs) {
      return known.count;
    }
    let count = 0;
    let untilMs = nowMs + MAX_COUNT_TTL_MS;
    this.#leases.forEach((leases, hostId) => {
      const leasedUntilMs = getLeaseEnd(leases, entry.failureDomain);
      if (leasedUntilMs > nowMs) {
        count += this.#quotas.get(entry, hostId).leasedCount;
        untilMs = Math.min(untilMs, leasedUntilMs);
      }
    });
    this.#counts.set(entry.id, { count, untilMs });
    return count;
  }
}
