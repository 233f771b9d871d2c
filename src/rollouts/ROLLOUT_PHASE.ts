/** Phases of a rollout, in their order; the last two are final. */
export const ROLLOUT_PHASE = {
  /** A small share of the requests goes to the target. */
  canary: 'canary',
  /** A larger share goes to the target for a limited time, so that it carries some load. */
  ramp: 'ramp',
  /** New requests go to the target only; what runs at other versions ends. */
  finish: 'finish',
  completed: 'completed',
  rolledBack: 'rolledBack',
} as const;

/** A member of {@link ROLLOUT_PHASE}. */
export type RolloutPhase = typeof ROLLOUT_PHASE[keyof typeof ROLLOUT_PHASE];

/**
 * @param phase - a phase
 * @returns whether no other phase follows
 */
export function isFinalPhase(phase: RolloutPhase): boolean {
  return phase === ROLLOUT_PHASE.completed || phase === ROLLOUT_PHASE.rolledBack;
}
