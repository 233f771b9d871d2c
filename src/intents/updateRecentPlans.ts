import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import type { RecentPlanRecord } from '../configuration/records/RecentPlanRecord.ts';

/** Accepted plans that a configuration names; a repeated confirmation is known for so long. */
export const MAX_RECENT_PLANS = 128;

/** Lines of change that are kept for each accepted plan. */
const MAX_CHANGE_LINES = 4;

/** Longest line of change that is kept, in characters. */
const MAX_CHANGE_LENGTH = 120;

function shortenChanges(changes: readonly string[]): string[] {
  const shown = changes
    .slice(0, MAX_CHANGE_LINES)
    .map((line) => line.slice(0, MAX_CHANGE_LENGTH));
  const hiddenCount = changes.length - shown.length;
  return hiddenCount === 0 ? shown : [...shown, `and ${hiddenCount} more`];
}

/**
 * Adds an accepted plan to the list of recent ones and drops the oldest beyond the bound.
 *
 * @param configuration - the configuration that the plan changes
 * @param plan - the accepted plan, with all its changes
 * @returns the new list, the latest last
 */
export function updateRecentPlans(
  configuration: ConfigurationRecord,
  plan: RecentPlanRecord,
): RecentPlanRecord[] {
  const { recentPlans = [] } = configuration;
  return [...recentPlans, { ...plan, changes: shortenChanges(plan.changes) }]
    .slice(-MAX_RECENT_PLANS);
}
