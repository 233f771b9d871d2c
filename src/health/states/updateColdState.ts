import { exhaustiveSwitchError } from '../../lib/exhaustiveSwitchError.ts';
import { COLD_REASON } from '../ColdReason.ts';
import type { ConfirmedEvent, FailedEvent, HealthEvent } from '../HealthEvent.ts';
import type { TransitionContext } from '../HealthOptions.ts';
import type { ColdState, HealthState } from '../HealthState.ts';
import { createHeldState, createStartedState, createWarmState } from './createColdState.ts';
import { getColdReason } from './getColdReason.ts';

/** Reasons that a later report of the same process refutes if its uptime is long enough. */
const REFUTABLE_REASONS: readonly string[] = [
  COLD_REASON.firstContact, COLD_REASON.crashed, COLD_REASON.unreachable, COLD_REASON.reconnected,
];

function updateOnConfirmation(
  state: ColdState,
  event: ConfirmedEvent,
  context: TransitionContext,
): HealthState {
  const isOldEnough = context.nowMs - event.startedAtMs >= context.warmupMs;
  // A report sent before the failure is no evidence of the state after it.
  const isFresh = state.reason === COLD_REASON.firstContact
    || event.reportedAtMs > state.holdUntilMs;
  return isOldEnough && isFresh && REFUTABLE_REASONS.includes(state.reason)
    ? createWarmState(event.startedAtMs)
    : { ...state, startedAtMs: event.startedAtMs };
}

function updateOnFailure(
  state: ColdState,
  event: FailedEvent,
  context: TransitionContext,
): HealthState {
  const reason = getColdReason(event.failure);
  return reason === null
    ? state
    : createHeldState(reason, state.startedAtMs, state.failureCount, context);
}

/** Makes an upstream that accepts no attempts while cold warm by time alone. */
function updateOnTick(state: ColdState, context: TransitionContext): HealthState {
  const isOldEnough = context.nowMs - state.startedAtMs >= context.warmupMs;
  const isHeld = context.nowMs < state.holdUntilMs;
  return context.coldConcurrency === 0 && isOldEnough && !isHeld
    ? createWarmState(state.startedAtMs)
    : state;
}

/**
 * Computes the transition of a cold upstream.
 *
 * @param state - the cold state
 * @param event - the event
 * @param context - time, options and pool
 * @returns the next state
 */
export function updateColdState(
  state: ColdState,
  event: HealthEvent,
  context: TransitionContext,
): HealthState {
  switch (event.kind) {
    case 'started':
      return createStartedState(event.reason, event.startedAtMs, context);
    case 'confirmed':
      return updateOnConfirmation(state, event, context);
    case 'succeeded':
      return {
        kind: 'warming',
        startedAtMs: state.startedAtMs,
        successCount: 1,
        failureCount: state.failureCount,
      };
    case 'failed':
      return updateOnFailure(state, event, context);
    case 'drainSet':
      return { kind: 'draining', startedAtMs: state.startedAtMs };
    case 'ticked':
      return updateOnTick(state, context);
    case 'drainCleared':
    case 'emptied':
      return state;
    default:
      throw exhaustiveSwitchError(event);
  }
}
