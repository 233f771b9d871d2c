import type { PoolId } from '../lib/ids.ts';

/** An operator's request to move a pool's traffic to upstreams of another software version. */
export interface RolloutOrder {
  readonly poolId: PoolId;
  /** Differs for each write of an order, also when an operator repeats the same one. */
  readonly orderId: string;
  readonly targetVersion: string;
  /** Time from the order to its deadline. */
  readonly durationMs: number;
}
