import type { Intent } from '../intents/Intent.ts';
import type { PlanId } from '../lib/ids.ts';

/** Requests a plan that meets an intent; changes nothing. */
export interface ProposeIntentCall {
  readonly kind: 'proposeIntent';
  readonly intent: Intent;
}

/** Confirms a plan; repeating it gives the same answer. */
export interface ConfirmPlanCall {
  readonly kind: 'confirmPlan';
  readonly planId: PlanId;
}

/** Call of an operator to the core. */
export type OperatorCall = ProposeIntentCall | ConfirmPlanCall;
