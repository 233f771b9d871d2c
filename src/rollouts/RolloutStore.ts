import type { EraBound } from '../directory/EraBound.ts';
import type { RolloutDecision } from './RolloutStatus.ts';

/** Keeps the status of each rollout. Methods reject when the store gives no answer. */
export interface RolloutStore {
  /**
   * Writes a status if the store still has the expected revision.
   *
   * @param decision - the new status
   * @param expectedRevision - revision of the status to replace; 0 for none
   * @returns the revision of the new status; null when another host was first
   */
  writeRolloutStatus(
    decision: RolloutDecision,
    expectedRevision: EraBound,
  ): Promise<EraBound | null>;
}
