import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import { ROLLOUT_PHASE, type RolloutPhase } from './ROLLOUT_PHASE.ts';
import type { RolloutVerdict } from './RolloutJudge.ts';

/** What the next phase of a running rollout is decided by. */
export interface RolloutEvidence {
  readonly phase: RolloutPhase;
  /** Whether the operator's order is still in the store. */
  readonly isOrdered: boolean;
  /** Time since the order. */
  readonly elapsedMs: number;
  /** Time since the deciding host learned of the phase. */
  readonly phaseMs: number;
  readonly durationMs: number;
  readonly verdict: RolloutVerdict;
  /** What still runs, or may be sent, at other versions; null when nothing. */
  readonly blockedBy: string | null;
}

/** The next phase and its reason. */
export interface PhaseDecision {
  readonly phase: RolloutPhase;
  readonly reason: string;
}

/** Latest start of the last phase before the deadline: streams end and all hosts report by then. */
const FINISH_BEFORE_MS = 6_000;
/** A target is watched for this part of the time at least, as it may turn bad later. */
const MIN_WATCHED_FRACTION = 0.5;
/** Part of the time for which a larger share of the requests goes to the target. */
export const RAMP_FRACTION = 0.2;

/**
 * @param durationMs - time from an order to its deadline
 * @returns earliest time after the order at which all requests may go to the target
 */
export function getFinishAtMs(durationMs: number): number {
  return Math.max(durationMs * MIN_WATCHED_FRACTION, durationMs - FINISH_BEFORE_MS);
}

function decideCanary(
  { elapsedMs, durationMs, verdict }: RolloutEvidence,
): PhaseDecision | null {
  const isRampTime = elapsedMs >= getFinishAtMs(durationMs) - durationMs * RAMP_FRACTION;
  return isRampTime && (verdict.kind === 'good' || verdict.kind === 'promising')
    ? { phase: ROLLOUT_PHASE.ramp, reason: `the answers of the target are ${verdict.kind}` }
    : null;
}

function decideRamp(
  {
    elapsedMs, phaseMs, durationMs, verdict,
  }: RolloutEvidence,
): PhaseDecision | null {
  const hasCarriedLoad = phaseMs >= durationMs * RAMP_FRACTION
    && elapsedMs >= getFinishAtMs(durationMs);
  return hasCarriedLoad && verdict.kind === 'good'
    ? { phase: ROLLOUT_PHASE.finish, reason: 'the target is good on all routes' }
    : null;
}

/** A target that was not proven good by its deadline is not kept. */
function decideDeadline({ elapsedMs, durationMs, verdict }: RolloutEvidence): PhaseDecision | null {
  if (elapsedMs < durationMs) {
    return null;
  }
  const detail = verdict.kind === 'open' || verdict.kind === 'promising'
    ? `; it waited for ${verdict.waitsFor}`
    : '';
  return {
    phase: ROLLOUT_PHASE.rolledBack,
    reason: `the target was not proven good by the deadline${detail}`,
  };
}

/**
 * Decides the next phase of a rollout. The deadline ends a target that is not proven good. Once
 * all requests go to a good target, the deadline no longer ends it: the upstreams of the other
 * versions stop at once on completion, so what runs there ends first, also if that takes longer.
 *
 * @param evidence - what is known
 * @returns the next phase; null to stay
 */
export function decideRollout(evidence: RolloutEvidence): PhaseDecision | null {
  const { phase, verdict } = evidence;
  if (phase === ROLLOUT_PHASE.completed || phase === ROLLOUT_PHASE.rolledBack) {
    return null;
  }
  if (!evidence.isOrdered) {
    return { phase: ROLLOUT_PHASE.rolledBack, reason: 'the order was withdrawn' };
  }
  if (verdict.kind === 'bad') {
    return { phase: ROLLOUT_PHASE.rolledBack, reason: verdict.detail };
  }
  switch (phase) {
    case ROLLOUT_PHASE.canary:
      return decideCanary(evidence) ?? decideDeadline(evidence);
    case ROLLOUT_PHASE.ramp:
      return decideRamp(evidence) ?? decideDeadline(evidence);
    case ROLLOUT_PHASE.finish:
      return evidence.blockedBy === null
        ? { phase: ROLLOUT_PHASE.completed, reason: 'nothing runs at other versions any more' }
        : null;
    default:
      throw exhaustiveSwitchError(phase);
  }
}
