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
 * @param state - where the upstream stands
 * @param event - what happened
 * @param context - the time, the options and the pool
 * @returns the state afterwards
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
