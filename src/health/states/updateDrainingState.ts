import { exhaustiveSwitchError } from '../../lib/exhaustiveSwitchError.ts';
import { COLD_REASON } from '../ColdReason.ts';
import type { HealthEvent } from '../HealthEvent.ts';
import type { TransitionContext } from '../HealthOptions.ts';
import type { DrainingState, HealthState } from '../HealthState.ts';
import { createStartedState } from './createColdState.ts';

/**
 * Computes the transition of a draining upstream.
 *
 * @param state - the draining state
 * @param event - the event
 * @param context - time, options and pool
 * @returns the next state
 */
export function updateDrainingState(
  state: DrainingState,
  event: HealthEvent,
  context: TransitionContext,
): HealthState {
  switch (event.kind) {
    case 'started':
    case 'confirmed':
      return { ...state, startedAtMs: event.startedAtMs };
    case 'emptied':
      return { kind: 'gone', startedAtMs: state.startedAtMs };
    case 'drainCleared':
      // It may have lost its caches while it had no attempts.
      return createStartedState(COLD_REASON.returned, state.startedAtMs, context);
    case 'succeeded':
    case 'failed':
    case 'drainSet':
    case 'ticked':
      return state;
    default:
      throw exhaustiveSwitchError(event);
  }
}
