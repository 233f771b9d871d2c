import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { HostId } from '../lib/ids.ts';
import { ReserveSends } from '../rates/ReserveSends.ts';
import type { Clock } from '../time/Clock.ts';
import type { QuotaLender } from './QuotaLender.ts';
import { QUOTA_WINDOW_MS, type SendQuotas } from './SendQuotas.ts';

/** The sends to upstreams with a cold start limit that this host decides on by itself. */
export class OwnQuota {
  readonly #quotas: SendQuotas;

  readonly #hostId: HostId;

  readonly #lender: QuotaLender;

  readonly #sends: ReserveSends;

  /**
   * @param clock - the monotonic time
   * @param quotas - the quotas of the hosts
   * @param hostId - this host
   * @param lender - leases the rest of this host's quotas
   */
  constructor(
    clock: Clock,
    quotas: SendQuotas,
    hostId: HostId,
    lender: QuotaLender,
  ) {
    this.#quotas = quotas;
    this.#hostId = hostId;
    this.#lender = lender;
    this.#sends = new ReserveSends(clock);
  }

  /**
   * @param entry - an upstream
   * @returns whether this host may send to it now
   */
  maySend(entry: UpstreamEntry): boolean {
    return this.getWaitMs(entry) === 0;
  }

  /**
   * @param entry - an upstream
   * @returns time until this host may send to it; infinite if it has no quota there
   */
  getWaitMs(entry: UpstreamEntry): number {
    if (!this.#quotas.isBounded(entry.poolId)) {
      return 0;
    }
    const { ownCount, leasedCount } = this.#quotas.get(entry, this.#hostId);
    const count = this.#lender.mayUse(entry.failureDomain) ? ownCount + leasedCount : ownCount;
    return this.#sends.getWaitMs(entry.id, count, QUOTA_WINDOW_MS);
  }

  /** @param entry - an upstream to which this host sends now by its own quota */
  recordSend(entry: UpstreamEntry): void {
    if (this.#quotas.isBounded(entry.poolId)) {
      this.#sends.record(entry.id);
      if (this.#lender.mayUse(entry.failureDomain)) {
        this.#lender.recordUse();
      }
    }
  }
}
