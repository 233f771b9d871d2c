import type { AccountId, RequestId } from '../lib/ids.ts';

/** One stage of one request that waits for an upstream. */
export interface QueuedItem<Payload> {
  readonly requestId: RequestId;
  readonly accountId: AccountId;
  /** Lower runs earlier within the account. */
  readonly priority: number;
  /** Monotonic time after which the item is of no use. */
  readonly deadlineAtMs: number;
  /** What the account is charged, in any unit that all items of the queue share. */
  readonly expectedCost: number;
  readonly payload: Payload;
  /** Order of arrival. */
  readonly sequence: number;
}
