import { exhaustiveSwitchError } from '../../lib/exhaustiveSwitchError.ts';
import type { FailedEvent, HealthEvent } from '../HealthEvent.ts';
import type { TransitionContext } from '../HealthOptions.ts';
import type { HealthState, WarmingState } from '../HealthState.ts';
import { createHeldState, createStartedState, createWarmState } from './createColdState.ts';
import { getColdReason } from './getColdReason.ts';

function evaluateEvidence(state: WarmingState, context: TransitionContext): HealthState {
  const isOldEnough = context.nowMs - state.startedAtMs >= context.warmupMs;
  const isProven = state.successCount >= context.options.warmSuccessCount;
  return isOldEnough && isProven ? createWarmState(state.startedAtMs) : state;
}

function updateOnFailure(
  state: WarmingState,
  event: FailedEvent,
  context: TransitionContext,
): HealthState {
  const reason = getColdReason(event.failure);
  return reason === null
    ? state
    : createHeldState(reason, state.startedAtMs, state.failureCount, context);
}

/**
 * Computes the transition of a warming upstream; a refusal or a crash returns it to cold.
 *
 * @param state - the warming state
 * @param event - the event
 * @param context - time, options and pool
 * @returns the next state
 */
export function updateWarmingState(
  state: WarmingState,
  event: HealthEvent,
  context: TransitionContext,
): HealthState {
  switch (event.kind) {
    case 'started':
      return createStartedState(event.reason, event.startedAtMs, context);
    case 'confirmed':
      return evaluateEvidence({ ...state, startedAtMs: event.startedAtMs }, context);
    case 'succeeded':
      return evaluateEvidence({ ...state, successCount: state.successCount + 1 }, context);
    case 'failed':
      return updateOnFailure(state, event, context);
    case 'drainSet':
      return { kind: 'draining', startedAtMs: state.startedAtMs };
    case 'ticked':
      return evaluateEvidence(state, context);
    case 'drainCleared':
    case 'emptied':
      return state;
    default:
      throw exhaustiveSwitchError(event);
  }
}
