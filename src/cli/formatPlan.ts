import type { PlanSummary } from '../operators/PlanSummary.ts';
import { formatMoney, formatPercent } from '../lib/formatValues.ts';

function formatList(title: string, lines: readonly string[]): string {
  const items = lines.length === 0 ? ['(none)'] : lines;
  return `${title}:\n${items.map((line) => `  ${line}\n`).join('')}`;
}

/**
 * Formats a plan as text.
 *
 * @param plan - the plan
 * @returns lines, each ended by a line feed
 */
export function formatPlan(plan: PlanSummary): string {
  const attainment = plan.predictedAttainment
    .map(({ pipelineId, fraction }) => `${pipelineId}: ${formatPercent(fraction)} in time`);
  const costs = plan.predictedCosts
    .map(({ pipelineId, costMicros }) => `${pipelineId}: ${formatMoney(costMicros)} per request`);
  return [
    `plan ${plan.planId}, made for configuration version ${plan.baseVersion}\n`,
    formatList('changes', plan.changes),
    formatList('affected', plan.affected),
    formatList('predicted deadline attainment', attainment),
    formatList('predicted cost', costs),
    plan.conflicts.length === 0 ? '' : formatList('CONFLICTS', plan.conflicts),
  ].join('');
}
