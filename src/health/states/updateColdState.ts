import { exhaustiveSwitchError } from '../../lib/exhaustiveSwitchError.ts';
import { COLD_REASON } from '../ColdReason.ts';
import type { ConfirmedEvent, FailedEvent, HealthEvent } from '../HealthEvent.ts';
import type { TransitionContext } from '../HealthOptions.ts';
import type { ColdState, HealthState } from '../HealthState.ts';
import { createHeldState, createStartedState, createWarmState } from './createColdState.ts';
import { getColdReason } from './getColdReason.ts';

/** Reasons that a fresh report of the same, old enough process refutes. */
const REFUTABLE_REASONS: readonly string[] = [
  COLD_REASON.firstContact, COLD_REASON.crashed, COLD_REASON.unreachable, COLD_REASON.reconnected,
];

function updateOnConfirmation(
  state: ColdState,
  event: ConfirmedEvent,
  facts: TransitionContext,
): HealthState {
  const isOldEnough = facts.nowMs - event.startedAtMs >= facts.warmupMs;
  // A report made before the failure says nothing about what came after it.
  const isFresh = state.reason === COLD_REASON.firstContact
    || event.reportedAtMs > state.holdUntilMs;
  return isOldEnough && isFresh && REFUTABLE_REASONS.includes(state.reason)
    ? createWarmState(event.startedAtMs)
    : { ...state, startedAtMs: event.startedAtMs };
}

function updateOnFailure(state: ColdState, event: FailedEvent, facts: TransitionContext): HealthState {
  const reason = getColdReason(event.failure);
  return reason === null
    ? state
    : createHeldState(reason, state.startedAtMs, state.failureCount, facts);
}

/** An upstream which takes no work at all while cold warms by time alone. */
function updateOnTick(state: ColdState, facts: TransitionContext): HealthState {
  const isOldEnough = facts.nowMs - state.startedAtMs >= facts.warmupMs;
  const isHeld = facts.nowMs < state.holdUntilMs;
  return facts.coldConcurrency === 0 && isOldEnough && !isHeld
    ? createWarmState(state.startedAtMs)
    : state;
}

/**
 * @param state - the cold state
 * @param event - what happened
 * @param facts - the time, the options and the pool
 * @returns the state afterwards
 */
export function updateColdState(
  state: ColdState,
  event: HealthEvent,
  facts: TransitionContext,
): HealthState {
  switch (event.kind) {
    case 'started':
      return createStartedState(event.reason, event.startedAtMs, facts);
    case 'confirmed':
      return updateOnConfirmation(state, event, facts);
    case 'succeeded':
      return {
        kind: 'warming',
        startedAtMs: state.startedAtMs,
        successCount: 1,
        failureCount: state.failureCount,
      };
    case 'failed':
      return updateOnFailure(state, event, facts);
    case 'drainSet':
      return { kind: 'draining', startedAtMs: state.startedAtMs };
    case 'ticked':
      return updateOnTick(state, facts);
    case 'drainCleared':
    case 'emptied':
      return state;
    default:
      throw exhaustiveSwitchError(event);
  }
}
