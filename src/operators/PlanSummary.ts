import type { Plan } from '../intents/Plan.ts';

/** Plan as shown to operators, without the configuration that it would write. */
export type PlanSummary = Omit<Plan, 'configuration'>;

/**
 * Summarizes a plan for operators.
 *
 * @param plan - the plan
 * @returns the plan without its configuration
 */
export function createPlanSummary(plan: Plan): PlanSummary {
  return {
    planId: plan.planId,
    baseVersion: plan.baseVersion,
    changes: plan.changes,
    affected: plan.affected,
    conflicts: plan.conflicts,
    predictedAttainment: plan.predictedAttainment,
    predictedCosts: plan.predictedCosts,
  };
}
