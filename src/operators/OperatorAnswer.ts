import type { Plan } from '../intents/Plan.ts';
import type { HostId } from '../lib/ids.ts';

/** Answer with the plan for an intent. */
export interface PlanProposedAnswer {
  readonly kind: 'planProposed';
  readonly plan: Plan;
}

/** Answer that the plan is accepted: it is durable and is never reverted. */
export interface PlanAcceptedAnswer {
  readonly kind: 'planAccepted';
  readonly version: number;
  /** Hosts that have reported this version or a later one as in force. */
  readonly inForceHostIds: readonly HostId[];
  /** Live hosts that have not reported the version yet. */
  readonly pendingHostIds: readonly HostId[];
}

/** Answer that the configuration changed after the plan was made; nothing was applied. */
export interface PlanConflictAnswer {
  readonly kind: 'planConflict';
  readonly baseVersion: number;
  readonly currentVersion: number;
  /** Changes to the configuration since `baseVersion`, one line each. */
  readonly differences: readonly string[];
}

/** Answer that the host does not know the plan (expired, or proposed at a host that is gone). */
export interface PlanUnknownAnswer {
  readonly kind: 'planUnknown';
}

/** Answer that the platform can't be reached, so that no plan can be accepted. */
export interface PlatformUnavailableAnswer {
  readonly kind: 'platformUnavailable';
  /** True when the write may have taken effect; confirming the plan again shows whether it did. */
  readonly isOutcomeUnknown: boolean;
  readonly retryAfterMs: number;
}

/** Answer to an operator's call. */
export type OperatorAnswer =
  | PlanProposedAnswer | PlanAcceptedAnswer | PlanConflictAnswer | PlanUnknownAnswer
  | PlatformUnavailableAnswer;
