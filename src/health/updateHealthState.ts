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
 * @param facts - the time, the options and the pool
 * @returns the state afterwards
 */
export function updateHealthState(
  state: HealthState,
  event: HealthEvent,
  facts: TransitionContext,
): HealthState {
  switch (state.kind) {
    case 'cold':
      return updateColdState(state, event, facts);
    case 'warming':
      return updateWarmingState(state, event, facts);
    case 'warm':
      return updateWarmState(state, event, facts);
    case 'draining':
      return updateDrainingState(state, event, facts);
    case 'gone':
      return updateGoneState(state, event, facts);
    default:
      throw exhaustiveSwitchError(state);
  }
}
