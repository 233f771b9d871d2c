import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import { RAMP_FRACTION } from './decideRollout.ts';
import { ROLLOUT_PHASE, type RolloutPhase } from './ROLLOUT_PHASE.ts';

/** What a host knows when it decides how many requests go to a target. */
export interface ShareInputs {
  readonly phase: RolloutPhase;
  /** Time since this host learned of the phase. */
  readonly phaseMs: number;
  /** Time since this host learned of the order. */
  readonly elapsedMs: number;
  readonly durationMs: number;
  /** Share of a pool's requests that a bad target may get between order and deadline. */
  readonly exposureShare: number;
}

/** Share during the canary phase, as a part of the allowed exposure. */
const CANARY_PART = 0.45;
/** The same during the ramp phase, which lasts for a fifth of the time. */
const RAMP_PART = 2;

/**
 * Computes the share of a pool's requests that may go to the target of a rollout. Each host draws
 * this share from its own requests, so that the sum over all hosts keeps to it whatever a host
 * knows of the others, and a restart or a cut of the network doesn't change it. Over the whole time
 * both shares together come to 0.76 of the allowed exposure.
 *
 * @param inputs - what the host knows
 * @returns the share, from 0 to 1
 */
export function getTargetShare({
  phase, phaseMs, elapsedMs, durationMs, exposureShare,
}: ShareInputs): number {
  switch (phase) {
    case ROLLOUT_PHASE.canary:
    case ROLLOUT_PHASE.ramp: {
      // Without news of the end, a host stops at the deadline by itself.
      if (elapsedMs >= durationMs) {
        return 0;
      }
      const isRamp = phase === ROLLOUT_PHASE.ramp && phaseMs < durationMs * RAMP_FRACTION;
      return Math.min(1, exposureShare * (isRamp ? RAMP_PART : CANARY_PART));
    }
    case ROLLOUT_PHASE.finish:
    case ROLLOUT_PHASE.completed:
      return 1;
    case ROLLOUT_PHASE.rolledBack:
      return 0;
    default:
      throw exhaustiveSwitchError(phase);
  }
}
