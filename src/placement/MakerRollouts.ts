import type { KnownUpstream } from '../directory/Directory.ts';
import type { PoolId } from '../lib/ids.ts';
import type { StageCall, StageOutcome } from './StageCall.ts';

/** An upstream that a call may go to, with the number of pieces that the call may have. */
export interface OpenMaker<Maker> {
  readonly item: Maker;
  readonly maxPieces: number;
}

/** Restricts which makers get calls while a pool moves to another software version. */
export interface MakerRollouts {
  /**
   * @param poolId - a pool
   * @param maxPieces - largest number of pieces in one call
   * @param makers - makers that could get a call now
   * @returns those that may get one
   */
  selectMakers<Maker extends { readonly upstream: KnownUpstream }>(
    poolId: PoolId,
    maxPieces: number,
    makers: readonly Maker[],
  ): readonly OpenMaker<Maker>[];
  /**
   * @param call - a call that is sent now
   * @returns receives its outcome; null while no rollout runs in its pool
   */
  startCall(call: StageCall): ((outcome: StageOutcome) => void) | null;
}
