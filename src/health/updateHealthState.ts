import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { HealthEvent } from './HealthEvent.ts';
import type { TransitionContext } from './HealthOptions.ts';
import type { HealthState } from './HealthState.ts';
import { updateColdState } from './states/updateColdState.ts';
import { updateDrainingState } from './states/updateDrainingState.ts';
import { updateGoneState } from './states/updateGoneState.ts';
import { updateWarmingState } from './states/updateWarmingState.ts';
import { updateWarmState } from './states/updateWarmState.ts';

/**
 * Computes the transition of a health state.
 *
 * @param state - the current state
 * @param event - the event
 * @param context - time, options and pool
 * @returns the next state
 */
export function updateHealthState(
  state: HealthState,
  event: HealthEvent,
  context: TransitionContext,
): HealthState {
  switch (state.kind) {
    case 'cold':
      return updateColdState(state, event, context);
    case 'warming':
      return updateWarmingState(state, event, context);
    case 'warm':
      return updateWarmState(state, event, context);
    case 'draining':
      return updateDrainingState(state, event, context);
    case 'gone':
      return updateGoneState(state, event, context);
    default:
      throw exhaustiveSwitchError(state);
  }
}
