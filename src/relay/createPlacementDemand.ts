import type { RequestProfile } from '../ingress/CallerRequest.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { PlacementDemand } from '../placement/PlacementRequest.ts';
import type { RelayParameters } from './RelayContext.ts';

/** What is known of a generation when it is to be placed. */
export interface PlacementState {
  readonly profile: RequestProfile;
  /** Time since the request arrived. */
  readonly waitedMs: number;
  /** Time left until nobody waits any more. */
  readonly remainingMs: number;
  /** Engines that have failed it before. */
  readonly excludedIds: readonly UpstreamId[];
  readonly isPlacedAgain: boolean;
}

/**
 * @param terms - what was decided of the request
 * @param state - what is known of it now
 * @returns what the placing host is asked for
 */
export function createPlacementDemand(
  { poolId, priority, route }: RelayParameters,
  {
    profile, waitedMs, remainingMs, excludedIds, isPlacedAgain,
  }: PlacementState,
): PlacementDemand {
  return {
    requestId: profile.id,
    poolId,
    stages: route.stages,
    pieceCounts: profile.pieceCounts,
    pieceKey: profile.pieceKey ?? '',
    parts: profile.generation?.parts ?? [],
    promptTokens: profile.generation?.promptTokens ?? 0,
    maxOutputTokens: profile.generation?.maxOutputTokens ?? 0,
    priority,
    onTimeMs: route.targetLatencyMs - waitedMs,
    remainingMs,
    excludedIds,
    isPlacedAgain,
  };
}
