import type { ColdReason } from '../ColdReason.ts';
import type { TransitionContext } from '../HealthOptions.ts';
import type { ColdState, HealthState, WarmState } from '../HealthState.ts';

/**
 * @param startedAtMs - when the upstream's process started, as well as is known
 * @returns the state of an upstream that takes work up to its limit
 */
export function createWarmState(startedAtMs: number): WarmState {
  return { kind: 'warm', startedAtMs, unreachableCount: 0 };
}

/**
 * @param reason - why the upstream is taken for cold
 * @param startedAtMs - when its process started, as well as is known
 * @param facts - the time and the pool
 * @returns the state after a start; warm at once in a pool whose upstreams need no warm-up
 */
export function createStartedState(
  reason: ColdReason,
  startedAtMs: number,
  facts: TransitionContext,
): HealthState {
  if (facts.warmupMs === 0) {
    return createWarmState(startedAtMs);
  }
  return {
    kind: 'cold', reason, startedAtMs, holdUntilMs: facts.nowMs, failureCount: 0,
  };
}

/**
 * @param reason - how the upstream failed
 * @param startedAtMs - when its process started, as well as is known
 * @param previousFailureCount - failures in a row before this one
 * @param facts - the time and the options
 * @returns a cold state with a pause that doubles with each failure
 */
export function createHeldState(
  reason: ColdReason,
  startedAtMs: number,
  previousFailureCount: number,
  facts: TransitionContext,
): ColdState {
  const { holdMs, maxHoldMs } = facts.options;
  const pauseMs = Math.min(maxHoldMs, holdMs * 2 ** previousFailureCount);
  return {
    kind: 'cold',
    reason,
    startedAtMs,
    holdUntilMs: facts.nowMs + pauseMs,
    failureCount: previousFailureCount + 1,
  };
}
