import type { Plan } from '../intents/Plan.ts';

/** A plan as operators see it: without the whole configuration that it would write. */
export type PlanSummary = Omit<Plan, 'configuration'>;

/**
 * @param plan - the plan
 * @returns what operators see of it
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
