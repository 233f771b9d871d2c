import type { Intent } from '../intents/Intent.ts';
import type { PlanId } from '../lib/ids.ts';

/** Asks for a plan that meets an intent; changes nothing. */
export interface ProposeIntentCall {
  readonly kind: 'proposeIntent';
  readonly intent: Intent;
}

/** Confirms a plan; repeating it gives the same answer. */
export interface ConfirmPlanCall {
  readonly kind: 'confirmPlan';
  readonly planId: PlanId;
}

/** What an operator can ask of the core. */
export type OperatorCall = ProposeIntentCall | ConfirmPlanCall;
