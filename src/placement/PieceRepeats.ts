import type { PoolId } from '../lib/ids.ts';

/** Bounds how often a placing host sends pieces of stages again. */
export interface PieceRepeats {
  /**
   * @param poolId - whose upstreams get pieces now
   * @param firstCount - pieces that are sent for the first time
   * @param repeatCount - pieces that were sent before
   */
  noteSent(poolId: PoolId, firstCount: number, repeatCount: number): void;
  /**
   * @param poolId - a pool of stages
   * @returns how many of its pieces may be sent again now
   */
  getLeft(poolId: PoolId): number;
}
