import type { PoolId, UpstreamId } from '../lib/ids.ts';

/** Limits how many pieces of stages a placement coordinator retries. */
export interface PieceRetryBudget {
  /**
   * Records the pieces of a call.
   *
   * @param poolId - a pool of stages
   * @param upstreamId - the upstream that the call is sent to
   * @param firstCount - number of pieces that are sent for the first time
   * @param retryCount - number of pieces that are retried
   */
  recordSent(
    poolId: PoolId, upstreamId: UpstreamId, firstCount: number, retryCount: number,
  ): void;
  /**
   * Records that the pieces sent to an upstream have arrived.
   *
   * @param poolId - a pool of stages
   * @param upstreamId - the upstream that has answered
   */
  recordAnswered(poolId: PoolId, upstreamId: UpstreamId): void;
  /**
   * @param poolId - a pool of stages
   * @returns how many of its pieces may be retried now
   */
  getRetriesLeft(poolId: PoolId): number;
}
