import type { ColdReason } from '../ColdReason.ts';
import type { TransitionContext } from '../HealthOptions.ts';
import type { ColdState, HealthState, WarmState } from '../HealthState.ts';

/**
 * Creates the state of a warm upstream.
 *
 * @param startedAtMs - best known start time of the upstream's process
 * @returns the warm state
 */
export function createWarmState(startedAtMs: number): WarmState {
  return { kind: 'warm', startedAtMs, unreachableCount: 0 };
}

/**
 * Creates the state of an upstream after a start.
 *
 * @param reason - the reason for which the upstream is considered cold
 * @param startedAtMs - best known start time of its process
 * @param context - time and pool
 * @returns the cold state; the warm state in a pool whose upstreams need no warm-up
 */
export function createStartedState(
  reason: ColdReason,
  startedAtMs: number,
  context: TransitionContext,
): HealthState {
  if (context.warmupMs === 0) {
    return createWarmState(startedAtMs);
  }
  return {
    kind: 'cold', reason, startedAtMs, holdUntilMs: context.nowMs, failureCount: 0,
  };
}

/**
 * Creates the state of an upstream after a failure.
 *
 * @param reason - the reason for which the upstream is considered cold
 * @param startedAtMs - best known start time of its process
 * @param previousFailureCount - consecutive failures before this one
 * @param context - time and options
 * @returns a cold state with a hold that doubles with each failure
 */
export function createHeldState(
  reason: ColdReason,
  startedAtMs: number,
  previousFailureCount: number,
  context: TransitionContext,
): ColdState {
  const { holdMs, maxHoldMs } = context.options;
  const durationMs = Math.min(maxHoldMs, holdMs * 2 ** previousFailureCount);
  return {
    kind: 'cold',
    reason,
    startedAtMs,
    holdUntilMs: context.nowMs + durationMs,
    failureCount: previousFailureCount + 1,
  };
}
