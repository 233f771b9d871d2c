import type { PoolId, UpstreamId } from '../lib/ids.ts';

/** Bounds how often a placing host sends pieces of stages again. */
export interface PieceRetryBudget {
  /**
   * @param poolId - a pool of stages
   * @param upstreamId - the upstream that gets pieces now
   * @param firstCount - pieces that are sent for the first time
   * @param repeatCount - pieces that were sent before
   */
  recordSent(
    poolId: PoolId, upstreamId: UpstreamId, firstCount: number, repeatCount: number,
  ): void;
  /**
   * @param poolId - a pool of stages
   * @param upstreamId - an upstream that has answered; the pieces sent to it have arrived
   */
  recordAnswered(poolId: PoolId, upstreamId: UpstreamId): void;
  /**
   * @param poolId - a pool of stages
   * @returns how many of its pieces may be sent again now
   */
  getRetriesLeft(poolId: PoolId): number;
}
