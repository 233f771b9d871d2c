import { exhaustiveSwitchError } from '../../lib/exhaustiveSwitchError.ts';
import { ATTEMPT_FAILURE } from '../../upstreams/AttemptFailure.ts';
import { COLD_REASON } from '../ColdReason.ts';
import type { FailedEvent, HealthEvent } from '../HealthEvent.ts';
import type { TransitionContext } from '../HealthOptions.ts';
import type { HealthState, WarmState } from '../HealthState.ts';
import { createHeldState, createStartedState } from './createColdState.ts';

function updateOnFailure(
  state: WarmState,
  event: FailedEvent,
  context: TransitionContext,
): HealthState {
  if (event.failure === ATTEMPT_FAILURE.crashed) {
    return createHeldState(COLD_REASON.crashed, state.startedAtMs, 0, context);
  }
  if (event.failure !== ATTEMPT_FAILURE.unreachable) {
    return { ...state, unreachableCount: 0 };
  }
  const unreachableCount = state.unreachableCount + 1;
  return unreachableCount >= context.options.unreachableCount
    ? createHeldState(COLD_REASON.unreachable, state.startedAtMs, 0, context)
    : { ...state, unreachableCount };
}

/**
 * Computes the transition of a warm upstream.
 *
 * @param state - the warm state
 * @param event - the event
 * @param context - time, options and pool
 * @returns the next state
 */
export function updateWarmState(
  state: WarmState,
  event: HealthEvent,
  context: TransitionContext,
): HealthState {
  switch (event.kind) {
    case 'started':
      return createStartedState(event.reason, event.startedAtMs, context);
    case 'confirmed':
      return { ...state, startedAtMs: event.startedAtMs };
    case 'succeeded':
      return { ...state, unreachableCount: 0 };
    case 'failed':
      return updateOnFailure(state, event, context);
    case 'drainSet':
      return { kind: 'draining', startedAtMs: state.startedAtMs };
    case 'drainCleared':
    case 'emptied':
    case 'ticked':
      return state;
    default:
      throw exhaustiveSwitchError(event);
  }
}
