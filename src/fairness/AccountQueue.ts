import { IndexedHeap } from '../lib/IndexedHeap.ts';
import type { AccountId } from '../lib/ids.ts';
import type { QueuedItem } from './QueuedItem.ts';

function compareItems(left: QueuedItem<unknown>, right: QueuedItem<unknown>): number {
  return left.priority - right.priority
    || left.deadlineAtMs - right.deadlineAtMs
    || left.sequence - right.sequence;
}

/**
 * @param left - one account
 * @param right - another account
 * @returns negative when `left` is to be served before `right`
 */
export function compareAccounts(
  left: Pick<AccountQueue<never>, 'accountId' | 'virtualStart'>,
  right: Pick<AccountQueue<never>, 'accountId' | 'virtualStart'>,
): number {
  return left.virtualStart - right.virtualStart
    || (left.accountId < right.accountId ? -1 : 1);
}

/** Waiting items of one account, with the virtual time of its past service. */
export class AccountQueue<Payload> {
  readonly accountId: AccountId;

  readonly #items = new IndexedHeap<QueuedItem<Payload>>(compareItems);

  #weight: number;

  #virtualStart: number;

  /**
   * @param accountId - the account
   * @param virtualStart - the virtual time of the queue now
   * @param weight - the account's weight
   */
  constructor(accountId: AccountId, virtualStart: number, weight: number) {
    this.accountId = accountId;
    this.#virtualStart = virtualStart;
    this.#weight = weight;
  }

  /** The account's weight, relative to the other accounts. */
  get weight(): number {
    return this.#weight;
  }

  /** Virtual time at which the account's next item starts. */
  get virtualStart(): number {
    return this.#virtualStart;
  }

  /** Number of waiting items. */
  get size(): number {
    return this.#items.size;
  }

  /**
   * Reactivates the account after it had no waiting items.
   *
   * @param earliestStart - virtual start of an account without recent service
   * @param weight - the account's weight
   */
  resume(earliestStart: number, weight: number): void {
    this.#virtualStart = Math.max(this.#virtualStart, earliestStart);
    this.#weight = weight;
  }

  /**
   * Charges the account for service, or refunds a charge.
   *
   * @param cost - cost of the service; negative for a refund
   * @param earliestStart - lower bound of the virtual start
   */
  charge(cost: number, earliestStart: number): void {
    this.#virtualStart = Math.max(earliestStart, this.#virtualStart + cost / this.#weight);
  }

  /**
   * @returns the account's next item, which stays queued
   */
  peek(): QueuedItem<Payload> | undefined {
    return this.#items.peek();
  }

  /**
   * @param item - the item to add
   */
  push(item: QueuedItem<Payload>): void {
    this.#items.push(item);
  }

  /**
   * @param item - the item to remove
   */
  remove(item: QueuedItem<Payload>): void {
    this.#items.remove(item);
  }
}
