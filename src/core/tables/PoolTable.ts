import type { PoolLoad, PoolLoadSource } from '../../admission/Admission.ts';
import { FairQueue } from '../../fairness/FairQueue.ts';
import { toId, type AccountId, type PoolId } from '../../lib/ids.ts';
import { RetryBudget } from '../../retries/RetryBudget.ts';
import type { AccountRecord } from '../../configuration/records/AccountRecord.ts';
import type { PoolRouter } from '../../routing/PoolRouter.ts';
import type { CoreContext } from '../CoreContext.ts';
import type { RequestRecord } from './RequestRecord.ts';

/** Stages queued for one pool, with the pool's retry budget. */
export interface PoolRow {
  readonly poolId: PoolId;
  readonly queue: FairQueue<RequestRecord>;
  readonly retryBudget: RetryBudget;
  /** Requests that need an idle upstream, since an upstream crashed while it ran them. */
  readonly suspects: Set<RequestRecord>;
}

/** The queues of all pools; a pool's row is created when its first stage is queued. */
export class PoolTable implements PoolLoadSource {
  readonly #context: CoreContext;

  readonly #router: PoolRouter;

  readonly #rows = new Map<PoolId, PoolRow>();

  #accounts: readonly AccountRecord[] = [];

  /**
   * @param context - the time of the step
   * @param router - provides the capacity of each pool
   */
  constructor(context: CoreContext, router: PoolRouter) {
    this.#context = context;
    this.#router = router;
  }

  /**
   * Applies the accounts' weights to all queues.
   *
   * @param accounts - the configured accounts
   */
  setAccounts(accounts: readonly AccountRecord[]): void {
    this.#accounts = accounts;
    this.#rows.forEach((row) => this.#setWeights(row));
  }

  /**
   * @param poolId - a pool
   * @returns the pool's row, created on first use
   */
  getRow(poolId: PoolId): PoolRow {
    const known = this.#rows.get(poolId);
    if (known !== undefined) {
      return known;
    }
    const row: PoolRow = {
      poolId,
      queue: new FairQueue(),
      retryBudget: new RetryBudget(this.#context),
      suspects: new Set(),
    };
    this.#setWeights(row);
    this.#rows.set(poolId, row);
    return row;
  }

  /**
   * @returns all rows
   */
  getRows(): Iterable<PoolRow> {
    return this.#rows.values();
  }

  /** @inheritdoc */
  getPoolLoad(poolId: PoolId, accountId: AccountId): PoolLoad {
    const { queue } = this.getRow(poolId);
    const { limit, running } = this.#router.getCapacity(poolId);
    const weight = queue.getWeight(accountId);
    const accountQueuedCount = queue.getAccountSize(accountId);
    const otherWeight = accountQueuedCount > 0 ? queue.activeWeight - weight : queue.activeWeight;
    return {
      limit,
      running,
      queuedCount: queue.size,
      accountQueuedCount,
      accountShare: weight / (weight + Math.max(0, otherWeight)),
    };
  }

  #setWeights({ queue }: PoolRow): void {
    this.#accounts.forEach(({ id, weight }) => queue.setWeight(toId<AccountId>(id), weight));
  }
}
