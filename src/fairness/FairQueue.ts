import { IndexedHeap } from '../lib/IndexedHeap.ts';
import type { AccountId, RequestId } from '../lib/ids.ts';
import { AccountQueue, compareAccounts } from './AccountQueue.ts';
import type { QueuedItem } from './QueuedItem.ts';

/** How a fair queue is bounded. */
export interface FairQueueOptions {
  /** Items that one account may have waiting; a further one is refused. */
  readonly maxItemsPerAccount: number;
  /** Items of the mean cost that an account without recent service may have ahead of the others. */
  readonly burstItems: number;
}

/** Defaults of a fair queue. */
export const DEFAULT_FAIR_QUEUE_OPTIONS: FairQueueOptions = {
  maxItemsPerAccount: 10_000,
  burstItems: 4,
};

const DEFAULT_WEIGHT = 1;
const COST_SMOOTHING = 0.05;

/**
 * A weighted fair queue over client accounts, one for each pool: start-time fair queueing (Goyal,
 * Vin, Cheng 1996). Each account carries a virtual start time which grows by cost / weight with
 * each item it gets served; the account with the smallest one is next. Inside an account the lower
 * priority value goes first, then the earlier deadline, then the earlier arrival. An account that
 * had little service of late starts a few items behind the virtual time, so that its small bursts
 * pass the backlog of a large one. Every call is O(log n); an account without items is forgotten
 * once its past service no longer counts.
 *
 * ```ts
 * if (!queue.enqueue(item)) answer(REFUSAL_CODE.overloaded);
 * queue.takeExpired(nowMs).forEach(answerDeadlineExceeded); // at getNextExpiryMs()
 * while (queue.size > 0) {
 *   const upstreamId = router.tryAcquire(request(queue.peek()));
 *   if (upstreamId === null) break;
 *   send(queue.dequeue(), upstreamId);
 * }
 * queue.correctCharge(accountId, actualCost - expectedCost); // when the attempt has ended
 * ```
 */
export class FairQueue<Payload> {
  readonly #options: FairQueueOptions;

  readonly #accounts = new Map<AccountId, AccountQueue<Payload>>();

  /** Accounts with items, the one to serve next first. */
  readonly #active = new IndexedHeap<AccountQueue<Payload>>(compareAccounts);

  /** Accounts without items whose past service still counts against them. */
  #idle = new IndexedHeap<AccountQueue<Payload>>(compareAccounts);

  readonly #items = new Map<RequestId, QueuedItem<Payload>>();

  readonly #expiry = new IndexedHeap<QueuedItem<Payload>>(
    (left, right) => left.deadlineAtMs - right.deadlineAtMs,
  );

  readonly #weights = new Map<AccountId, number>();

  #virtualTime = 0;

  /** The latest virtual start that any account has had. */
  #latestStart = 0;

  /** Smoothed cost of an item. */
  #meanCost = 0;

  #sequence = 0;

  #activeWeight = 0;

  /**
   * @param options - the bounds; what is left out takes its default
   */
  constructor(options: Partial<FairQueueOptions> = {}) {
    this.#options = { ...DEFAULT_FAIR_QUEUE_OPTIONS, ...options };
  }

  /** Number of waiting items. */
  get size(): number {
    return this.#items.size;
  }

  /** Sum of the weights of the accounts with waiting items. */
  get activeWeight(): number {
    return this.#activeWeight;
  }

  /**
   * @param accountId - the account
   * @returns how many of its items wait
   */
  getAccountSize(accountId: AccountId): number {
    return this.#accounts.get(accountId)?.size ?? 0;
  }

  /**
   * Sets an account's share; it holds from the account's next item on.
   *
   * @param accountId - the account
   * @param weight - its share, relative to the other accounts
   */
  setWeight(accountId: AccountId, weight: number): void {
    if (weight === DEFAULT_WEIGHT) {
      this.#weights.delete(accountId);
    } else {
      this.#weights.set(accountId, weight);
    }
  }

  /**
   * @param accountId - the account
   * @returns its share, relative to the other accounts
   */
  getWeight(accountId: AccountId): number {
    return this.#weights.get(accountId) ?? DEFAULT_WEIGHT;
  }

  /**
   * Adds an item.
   *
   * @param item - what waits; its request must not be inside yet
   * @returns false when the account's queue is full or the request is inside already
   */
  enqueue(item: Omit<QueuedItem<Payload>, 'sequence'>): boolean {
    const account = this.#getAccount(item.accountId);
    if (this.#items.has(item.requestId) || account.size >= this.#options.maxItemsPerAccount) {
      this.#updateHeaps(account);
      return false;
    }
    this.#meanCost += COST_SMOOTHING * (item.expectedCost - this.#meanCost);
    this.#sequence += 1;
    const queued = { ...item, sequence: this.#sequence };
    this.#items.set(item.requestId, queued);
    this.#expiry.push(queued);
    account.push(queued);
    this.#activate(account);
    return true;
  }

  /**
   * @returns the item to serve next, which stays inside; undefined when empty
   */
  peek(): QueuedItem<Payload> | undefined {
    return this.#active.peek()?.peek();
  }

  /**
   * Takes the next item out and charges its expected cost to its account.
   *
   * @returns the item; undefined when empty
   */
  dequeue(): QueuedItem<Payload> | undefined {
    const account = this.#active.peek();
    const item = account?.peek();
    if (account === undefined || item === undefined) {
      return undefined;
    }
    this.#virtualTime = Math.max(this.#virtualTime, account.virtualStart);
    this.#removeItem(item, account);
    account.charge(item.expectedCost, this.#earliestStart);
    this.#updateHeaps(account);
    this.#deleteExpiredIdle();
    return item;
  }

  /**
   * Takes an item out without a charge: it was cancelled.
   *
   * @param requestId - whose item
   * @returns the item; undefined when it was not inside
   */
  remove(requestId: RequestId): QueuedItem<Payload> | undefined {
    const item = this.#items.get(requestId);
    const account = item && this.#accounts.get(item.accountId);
    if (item === undefined || account === undefined) {
      return undefined;
    }
    this.#removeItem(item, account);
    this.#updateHeaps(account);
    return item;
  }

  /**
   * Takes out every item whose deadline has passed, so that its final answer can go out at once.
   *
   * @param nowMs - the time of the step
   * @returns the expired items, the earliest first
   */
  takeExpired(nowMs: number): QueuedItem<Payload>[] {
    const expired: QueuedItem<Payload>[] = [];
    let first = this.#expiry.peek();
    while (first !== undefined && first.deadlineAtMs <= nowMs) {
      expired.push(first);
      this.remove(first.requestId);
      first = this.#expiry.peek();
    }
    return expired;
  }

  /**
   * @returns when the next item expires; Infinity for none
   */
  getNextExpiryMs(): number {
    return this.#expiry.peek()?.deadlineAtMs ?? Infinity;
  }

  /**
   * Corrects what an account was charged, once the true cost of an item is known.
   *
   * @param accountId - the account
   * @param difference - true less expected cost; negative gives some back
   */
  correctCharge(accountId: AccountId, difference: number): void {
    const account = this.#getAccount(accountId);
    account.charge(difference, this.#earliestStart);
    this.#updateHeaps(account);
  }

  /** The virtual start of an account without recent service. */
  get #earliestStart(): number {
    return this.#virtualTime - this.#options.burstItems * this.#meanCost;
  }

  #getAccount(accountId: AccountId): AccountQueue<Payload> {
    const known = this.#accounts.get(accountId);
    if (known !== undefined) {
      return known;
    }
    const created = new AccountQueue<Payload>(
      accountId,
      this.#earliestStart,
      this.getWeight(accountId),
    );
    this.#accounts.set(accountId, created);
    return created;
  }

  #activate(account: AccountQueue<Payload>): void {
    if (!this.#active.has(account)) {
      this.#idle.remove(account);
      account.resume(this.#earliestStart, this.getWeight(account.accountId));
      this.#activeWeight += account.weight;
    }
    this.#active.push(account);
  }

  #removeItem(item: QueuedItem<Payload>, account: AccountQueue<Payload>): void {
    this.#items.delete(item.requestId);
    this.#expiry.remove(item);
    account.remove(item);
  }

  /** Puts an account where it belongs after a change. */
  #updateHeaps(account: AccountQueue<Payload>): void {
    if (account.size > 0) {
      this.#active.push(account);
      return;
    }
    if (this.#active.remove(account)) {
      this.#activeWeight = this.#active.size === 0 ? 0 : this.#activeWeight - account.weight;
    }
    this.#latestStart = Math.max(this.#latestStart, account.virtualStart);
    if (this.#active.size === 0) {
      this.#endContention();
      return;
    }
    if (account.virtualStart <= this.#earliestStart) {
      this.#idle.remove(account);
      this.#accounts.delete(account.accountId);
    } else {
      this.#idle.push(account);
    }
  }

  /** Nobody waits: past service no longer counts against anybody. */
  #endContention(): void {
    this.#virtualTime = this.#latestStart;
    this.#accounts.clear();
    this.#idle = new IndexedHeap<AccountQueue<Payload>>(compareAccounts);
  }

  #deleteExpiredIdle(): void {
    let account = this.#idle.peek();
    while (account !== undefined && account.virtualStart <= this.#earliestStart) {
      this.#idle.pop();
      this.#accounts.delete(account.accountId);
      account = this.#idle.peek();
    }
  }
}
