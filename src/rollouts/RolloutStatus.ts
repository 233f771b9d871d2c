import type { EraBound } from '../directory/EraBound.ts';
import type { PoolId } from '../lib/ids.ts';
import type { RolloutPhase } from './ROLLOUT_PHASE.ts';

/** What was decided about an order, before it is written. */
export interface RolloutDecision {
  readonly poolId: PoolId;
  /** The order that it decides on. */
  readonly orderId: string;
  readonly targetVersion: string;
  readonly phase: RolloutPhase;
  /** Why this phase was entered. */
  readonly reason: string;
  /** Wall time at which the deciding host first saw the order. */
  readonly startedAtMs: number;
  /** Versions that the target replaces; they get no requests once the rollout is completed. */
  readonly replacedVersions: readonly string[];
  /** Targets of earlier orders that were not completed; they get no requests. */
  readonly barredVersions: readonly string[];
}

/** The state of a rollout as the store has it. */
export interface RolloutStatus extends RolloutDecision {
  readonly revision: EraBound;
}
