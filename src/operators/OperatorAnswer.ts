import type { Plan } from '../intents/Plan.ts';
import type { HostId } from '../lib/ids.ts';

/** The plan for an intent. */
export interface PlanProposedAnswer {
  readonly kind: 'planProposed';
  readonly plan: Plan;
}

/** The plan is accepted: durable, and never reverted. */
export interface PlanAcceptedAnswer {
  readonly kind: 'planAccepted';
  readonly version: number;
  /** Hosts that reported this version or a later one so far. */
  readonly inForceHostIds: readonly HostId[];
  /** Live hosts that have not reported it yet. */
  readonly pendingHostIds: readonly HostId[];
}

/** Another change came first; nothing of this plan was applied. */
export interface PlanConflictAnswer {
  readonly kind: 'planConflict';
  readonly baseVersion: number;
  readonly currentVersion: number;
  /** What the other change did, one line each. */
  readonly differences: readonly string[];
}

/** The plan is not known here (expired, or proposed at a host that is gone). */
export interface PlanUnknownAnswer {
  readonly kind: 'planUnknown';
}

/** The platform can't be reached, so nothing can be accepted now. */
export interface PlatformUnavailableAnswer {
  readonly kind: 'platformUnavailable';
  /** True when the write may have taken effect; confirming the same plan again tells. */
  readonly isOutcomeUnknown: boolean;
  readonly retryAfterMs: number;
}

/** The answer to an operator's call. */
export type OperatorAnswer =
  | PlanProposedAnswer | PlanAcceptedAnswer | PlanConflictAnswer | PlanUnknownAnswer
  | PlatformUnavailableAnswer;
