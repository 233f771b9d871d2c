import { exhaustiveSwitchError } from '../../lib/exhaustiveSwitchError.ts';
import { COLD_REASON } from '../ColdReason.ts';
import type { HealthEvent } from '../HealthEvent.ts';
import type { TransitionContext } from '../HealthOptions.ts';
import type { GoneState, HealthState } from '../HealthState.ts';
import { createStartedState } from './createColdState.ts';

/**
 * Computes the transition of a gone upstream.
 *
 * @param state - the gone state
 * @param event - the event
 * @param context - time, options and pool
 * @returns the next state
 */
export function updateGoneState(
  state: GoneState,
  event: HealthEvent,
  context: TransitionContext,
): HealthState {
  switch (event.kind) {
    case 'started':
    case 'confirmed':
      return { ...state, startedAtMs: event.startedAtMs };
    case 'drainCleared':
      return createStartedState(COLD_REASON.returned, state.startedAtMs, context);
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
