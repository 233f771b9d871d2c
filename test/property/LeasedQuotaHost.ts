import type { Directory } from '../../src/directory/Directory.ts';
import { toId, type HostId } from '../../src/lib/ids.ts';
import { OwnQuota } from '../../src/quotas/OwnQuota.ts';
import { QuotaBorrower } from '../../src/quotas/QuotaBorrower.ts';
import { QuotaLender } from '../../src/quotas/QuotaLender.ts';
import type { SendQuotas } from '../../src/quotas/SendQuotas.ts';
import type { ManualClock } from '../../src/time/ManualClock.ts';

/** A host of the model: it sends, leases its quotas, and grants sends of others. */
export class LeasedQuotaHost {
  readonly id: HostId;

  readonly lender: QuotaLender;

  readonly own: OwnQuota;

  borrower: QuotaBorrower;

  /** Index of the host that it takes for the coordinator. */
  coordinatorIndex = 0;

  constructor(index: number, clock: ManualClock, directory: Directory, quotas: SendQuotas) {
    this.id = toId<HostId>(`h${index}`);
    this.lender = new QuotaLender(clock, this.id);
    this.own = new OwnQuota(clock, quotas, this.id, this.lender);
    this.borrower = new QuotaBorrower(clock, directory, quotas);
  }
}
