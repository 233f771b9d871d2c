import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import type { PlanId } from '../lib/ids.ts';
import { applyIntent } from './applyIntent.ts';
import { describeAffected } from './describeAffected.ts';
import { describeChanges } from './describeChanges.ts';
import { findConflicts } from './findConflicts.ts';
import type { Intent } from './Intent.ts';
import type { Plan } from './Plan.ts';
import type { FleetState } from './FleetState.ts';
import { predictAttainments, predictCosts } from './predictPipelines.ts';
import { updateRecentPlans } from './updateRecentPlans.ts';

/** What a plan is made from. */
export interface CreatePlanOptions {
  readonly planId: PlanId;
  readonly intent: Intent;
  /** The configuration that the plan is to change. */
  readonly configuration: ConfigurationRecord;
  readonly fleetState: FleetState;
}

/**
 * Makes the plan that meets an intent. The configuration that it would write depends only on the
 * intent, the plan's id and the present configuration, so that any host makes the same one.
 *
 * @param options - the intent and what it meets
 * @returns the plan, with all conflicts
 */
export function createPlan(options: CreatePlanOptions): Plan {
  const {
    planId, intent, configuration, fleetState: fleetState,
  } = options;
  const applied = applyIntent(configuration, intent);
  const changes = describeChanges(configuration, applied);
  const version = configuration.version + 1;
  const next: ConfigurationRecord = {
    ...applied,
    version,
    planId,
    recentPlans: updateRecentPlans(configuration, { planId, version, changes }),
  };
  return {
    planId,
    baseVersion: configuration.version,
    configuration: next,
    changes,
    affected: describeAffected(configuration, next, fleetState.hosts),
    conflicts: findConflicts({
      intent, before: configuration, after: next, fleetState: fleetState,
    }),
    predictedAttainment: predictAttainments(next, fleetState.loads),
    predictedCosts: predictCosts(next),
  };
}
