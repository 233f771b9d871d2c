import type { RequestProfile } from '../ingress/CallerRequest.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { PlacementDemand } from '../placement/PlacementRequest.ts';
import type { RelayParameters } from './RelayContext.ts';

/** State of a generation at the time of its placement. */
export interface PlacementState {
  readonly profile: RequestProfile;
  /** Time since the request arrived. */
  readonly waitedMs: number;
  /** Time left until the request's deadline. */
  readonly remainingMs: number;
  /** Time since the caller last received an event, or else since the request arrived. */
  readonly silentMs: number;
  /** Engines that must not be chosen, such as those that failed the request before. */
  readonly excludedIds: readonly UpstreamId[];
  /** Software version that began the stream; null before its first event. */
  readonly softwareVersion: string | null;
  readonly isPlacedAgain: boolean;
}

/**
 * Creates the demand that the placement coordinator receives for a generation.
 *
 * @param parameters - the parameters of the relay
 * @param state - the state of the generation
 * @returns the demand
 */
export function createPlacementDemand(
  {
    poolId, priority, route, account,
  }: RelayParameters,
  {
    profile, waitedMs, remainingMs, silentMs, excludedIds, softwareVersion, isPlacedAgain,
  }: PlacementState,
): PlacementDemand {
  // The first event is useless to a caller that has abandoned the stream before.
  const usefulMs = Math.min(remainingMs, route.callerPatienceMs - silentMs);
  return {
    requestId: profile.id,
    account,
    kind: route.name,
    poolId,
    stages: route.stages,
    pieceCounts: profile.pieceCounts,
    pieceKey: profile.pieceKey ?? '',
    parts: profile.generation?.parts ?? [],
    promptTokens: profile.generation?.promptTokens ?? 0,
    maxOutputTokens: profile.generation?.maxOutputTokens ?? 0,
    priority,
    // The latency target is for the first event, which the caller of a begun stream has.
    onTimeMs: softwareVersion === null ? route.targetLatencyMs - waitedMs : usefulMs,
    remainingMs: usefulMs,
    excludedIds,
    softwareVersion,
    isPlacedAgain,
  };
}
