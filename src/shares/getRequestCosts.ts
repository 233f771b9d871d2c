import type { BatchLimits } from '../directory/ServingConfiguration.ts';
import type { PoolId } from '../lib/ids.ts';
import type { PlacementDemand } from '../placement/PlacementRequest.ts';

/** The work that a request needs of each resource. */
export interface RequestCosts {
  /** Time of stage upstreams; a call's fixed time is divided among the pieces of a full call. */
  readonly stageMs: number;
  /** Tokens that an engine prefills or generates at most. */
  readonly engineTokens: number;
}

/**
 * @param demand - the request
 * @param getBatchLimits - returns the batch limits of a pool; null or undefined if it has none
 * @returns the work that it needs
 */
export function getRequestCosts(
  demand: Pick<PlacementDemand, 'stages' | 'pieceCounts' | 'promptTokens' | 'maxOutputTokens'>,
  getBatchLimits: (poolId: PoolId) => BatchLimits | null | undefined,
): RequestCosts {
  const stageMs = demand.stages.reduce((sum, { poolId }, index) => {
    const limits = getBatchLimits(poolId);
    return limits === null || limits === undefined
      ? sum
      : sum + (demand.pieceCounts[index] ?? 1)
        * (limits.pieceMs + limits.callMs / Math.max(1, limits.maxPieces));
  }, 0);
  return { stageMs, engineTokens: demand.promptTokens + demand.maxOutputTokens };
}
