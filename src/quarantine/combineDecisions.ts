import type { SuspectId } from './SuspectId.ts';
import type { SendDecision } from './SuspectTable.ts';

/** A suspect whose trial may begin. */
export type DueTrial = Extract<SendDecision, { kind: 'trialDue' }> & { readonly id: SuspectId };

/** Decision on a request, from the decisions on its suspects. */
export type RequestDecision =
  | { readonly kind: 'free' }
  /** It may be sent as the trial of these suspects. */
  | { readonly kind: 'trialDue'; readonly trials: readonly DueTrial[] }
  | Extract<SendDecision, { kind: 'held' }>;

/**
 * Time for which a trial of several suspects waits for requests that have one of them alone. A
 * joint trial that fails blames all, so that a sound part that often accompanies the crashing one
 * would be held with it.
 */
const JOINT_TRIAL_DELAY_MS = 10_000;

function getJointTrial(trials: readonly DueTrial[], nowMs: number): RequestDecision {
  const lastCrashAtMs = Math.max(...trials.map(({ crashedAtMs }) => crashedAtMs));
  const waitMs = lastCrashAtMs + JOINT_TRIAL_DELAY_MS - nowMs;
  const isFirst = trials.every(({ trialCount }) => trialCount === 0);
  return isFirst && waitMs <= 0
    ? { kind: 'trialDue', trials }
    : { kind: 'held', retryAfterMs: isFirst ? waitMs : JOINT_TRIAL_DELAY_MS, isOnTrial: true };
}

/**
 * Decides whether a request may be sent.
 *
 * @param decisions - decision on each of its suspects
 * @param nowMs - monotonic time
 * @returns the decision on the request
 */
export function combineDecisions(
  decisions: readonly (readonly [SuspectId, SendDecision])[],
  nowMs: number,
): RequestDecision {
  const held = decisions.flatMap(([, decision]) => (decision.kind === 'held' ? [decision] : []));
  if (held.length > 0) {
    return {
      kind: 'held',
      retryAfterMs: Math.max(...held.map(({ retryAfterMs }) => retryAfterMs)),
      isOnTrial: held.every(({ isOnTrial }) => isOnTrial),
    };
  }
  const trials = decisions.flatMap(([id, decision]) => (
    decision.kind === 'trialDue' ? [{ ...decision, id }] : []));
  if (trials.length === 0) {
    return { kind: 'free' };
  }
  return trials.length === 1 ? { kind: 'trialDue', trials } : getJointTrial(trials, nowMs);
}
