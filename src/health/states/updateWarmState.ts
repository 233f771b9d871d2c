import { exhaustiveSwitchError } from '../../lib/exhaustiveSwitchError.ts';
import { ATTEMPT_FAILURE } from '../../upstreams/AttemptFailure.ts';
import { COLD_REASON } from '../ColdReason.ts';
import type { FailedEvent, HealthEvent } from '../HealthEvent.ts';
import type { TransitionContext } from '../HealthOptions.ts';
import type { HealthState, WarmState } from '../HealthState.ts';
import { createHeldState, createStartedState } from './createColdState.ts';

function updateOnFailure(state: WarmState, event: FailedEvent, facts: TransitionContext): HealthState {
  if (event.failure === ATTEMPT_FAILURE.crashed) {
    return createHeldState(COLD_REASON.crashed, state.startedAtMs, 0, facts);
  }
  if (event.failure !== ATTEMPT_FAILURE.unreachable) {
    return { ...state, unreachableCount: 0 };
  }
  const unreachableCount = state.unreachableCount + 1;
  return unreachableCount >= facts.options.unreachableCount
    ? createHeldState(COLD_REASON.unreachable, state.startedAtMs, 0, facts)
    : { ...state, unreachableCount };
}

/**
 * @param state - the warm state
 * @param event - what happened
 * @param facts - the time, the options and the pool
 * @returns the state afterwards
 */
export function updateWarmState(
  state: WarmState,
  event: HealthEvent,
  facts: TransitionContext,
): HealthState {
  switch (event.kind) {
    case 'started':
      return createStartedState(event.reason, event.startedAtMs, facts);
    case 'confirmed':
      return { ...state, startedAtMs: event.startedAtMs };
    case 'succeeded':
      return { ...state, unreachableCount: 0 };
    case 'failed':
      return updateOnFailure(state, event, facts);
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
