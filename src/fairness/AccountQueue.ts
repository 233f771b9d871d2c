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

/** The waiting items of one account, and how much service it has had. */
export class AccountQueue<Payload> {
  readonly accountId: AccountId;

  readonly #items = new IndexedHeap<QueuedItem<Payload>>(compareItems);

  #weight: number;

  #virtualStart: number;

  /**
   * @param accountId - whose items
   * @param virtualStart - the virtual time of the queue now
   * @param weight - the account's share
   */
  constructor(accountId: AccountId, virtualStart: number, weight: number) {
    this.accountId = accountId;
    this.#virtualStart = virtualStart;
    this.#weight = weight;
  }

  /** The account's share, relative to the other accounts. */
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
   * Makes the account take part again after it had nothing waiting.
   *
   * @param earliestStart - where an account without recent service starts
   * @param weight - the account's share
   */
  resume(earliestStart: number, weight: number): void {
    this.#virtualStart = Math.max(this.#virtualStart, earliestStart);
    this.#weight = weight;
  }

  /**
   * Charges the account for service, or gives some back.
   *
   * @param cost - what it was served; negative to give back
   * @param earliestStart - the account does not fall behind it
   */
  charge(cost: number, earliestStart: number): void {
    this.#virtualStart = Math.max(earliestStart, this.#virtualStart + cost / this.#weight);
  }

  /**
   * @returns the account's next item, which stays inside
   */
  peek(): QueuedItem<Payload> | undefined {
    return this.#items.peek();
  }

  /**
   * @param item - what to add
   */
  push(item: QueuedItem<Payload>): void {
    this.#items.push(item);
  }

  /**
   * @param item - what to take out
   */
  remove(item: QueuedItem<Payload>): void {
    this.#items.remove(item);
  }
}
