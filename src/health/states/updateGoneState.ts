import { exhaustiveSwitchError } from '../../lib/exhaustiveSwitchError.ts';
import { COLD_REASON } from '../ColdReason.ts';
import type { HealthEvent } from '../HealthEvent.ts';
import type { TransitionContext } from '../HealthOptions.ts';
import type { GoneState, HealthState } from '../HealthState.ts';
import { createStartedState } from './createColdState.ts';

/**
 * @param state - the gone state
 * @param event - what happened
 * @param facts - the time, the options and the pool
 * @returns the state afterwards
 */
export function updateGoneState(
  state: GoneState,
  event: HealthEvent,
  facts: TransitionContext,
): HealthState {
  switch (event.kind) {
    case 'started':
    case 'confirmed':
      return { ...state, startedAtMs: event.startedAtMs };
    case 'drainCleared':
      return createStartedState(COLD_REASON.returned, state.startedAtMs, facts);
    case 'succeeded':
    case 'failed':
    case 'drainSet':
    case 'emptied':
    case 'ticked':
      return state;
    default:
      throw exhaustiveSwitchError(event);
  }
}
