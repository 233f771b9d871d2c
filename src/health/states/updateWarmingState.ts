import { exhaustiveSwitchError } from '../../lib/exhaustiveSwitchError.ts';
import type { FailedEvent, HealthEvent } from '../HealthEvent.ts';
import type { TransitionContext } from '../HealthOptions.ts';
import type { HealthState, WarmingState } from '../HealthState.ts';
import { createHeldState, createStartedState, createWarmState } from './createColdState.ts';
import { getColdReason } from './getColdReason.ts';

function evaluateEvidence(state: WarmingState, facts: TransitionContext): HealthState {
  const isOldEnough = facts.nowMs - state.startedAtMs >= facts.warmupMs;
  const isProven = state.successCount >= facts.options.warmSuccessCount;
  return isOldEnough && isProven ? createWarmState(state.startedAtMs) : state;
}

function updateOnFailure(
  state: WarmingState,
  event: FailedEvent,
  facts: TransitionContext,
): HealthState {
  const reason = getColdReason(event.failure);
  return reason === null
    ? state
    : createHeldState(reason, state.startedAtMs, state.failureCount, facts);
}

/**
 * A refusal or a crash while warming leads back to cold.
 *
 * @param state - the warming state
 * @param event - what happened
 * @param facts - the time, the options and the pool
 * @returns the state afterwards
 */
export function updateWarmingState(
  state: WarmingState,
  event: HealthEvent,
  facts: TransitionContext,
): HealthState {
  switch (event.kind) {
    case 'started':
      return createStartedState(event.reason, event.startedAtMs, facts);
    case 'confirmed':
      return evaluateEvidence({ ...state, startedAtMs: event.startedAtMs }, facts);
    case 'succeeded':
      return evaluateEvidence({ ...state, successCount: state.successCount + 1 }, facts);
    case 'failed':
      return updateOnFailure(state, event, facts);
    case 'drainSet':
      return { kind: 'draining', startedAtMs: state.startedAtMs };
    case 'ticked':
      return evaluateEvidence(state, facts);
    case 'drainCleared':
    case 'emptied':
      return state;
    default:
      throw exhaustiveSwitchError(event);
  }
}
