import type { AccountId, RequestId } from '../lib/ids.ts';

/** Stage of a request that waits for an upstream. */
export interface QueuedItem<Payload> {
  readonly requestId: RequestId;
  readonly accountId: AccountId;
  /** Priority within the account; lower runs earlier. */
  readonly priority: number;
  /** Monotonic time after which the item expires. */
  readonly deadlineAtMs: number;
  /** Charge to the account, in any unit that all items of the queue share. */
  readonly expectedCost: number;
  readonly payload: Payload;
  /** Order of arrival. */
  readonly sequence: number;
}
