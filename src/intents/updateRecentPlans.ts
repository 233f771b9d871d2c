import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import type { RecentPlanRecord } from '../configuration/records/RecentPlanRecord.ts';

/** Number of accepted plans that a configuration lists; only these can be confirmed repeatedly. */
export const MAX_RECENT_PLANS = 128;

/** Maximum number of change lines stored for each accepted plan. */
const MAX_CHANGE_LINES = 4;

/** Maximum length of a stored change line, in characters. */
const MAX_CHANGE_LENGTH = 120;

function truncateChanges(changes: readonly string[]): string[] {
  const shown = changes
    .slice(0, MAX_CHANGE_LINES)
    .map((line) => line.slice(0, MAX_CHANGE_LENGTH));
  const omittedCount = changes.length - shown.length;
  return omittedCount === 0 ? shown : [...shown, `and ${omittedCount} more`];
}

/**
 * Appends an accepted plan to the recent plans and removes the oldest ones beyond the limit.
 *
 * @param configuration - the configuration that the plan changes
 * @param plan - the accepted plan, with all its changes
 * @returns the new list, oldest first
 */
export function updateRecentPlans(
  configuration: ConfigurationRecord,
  plan: RecentPlanRecord,
): RecentPlanRecord[] {
  const { recentPlans = [] } = configuration;
  return [...recentPlans, { ...plan, changes: truncateChanges(plan.changes) }]
    .slice(-MAX_RECENT_PLANS);
}
