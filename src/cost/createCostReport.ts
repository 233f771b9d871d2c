import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { CostGrouping, CostReport } from '../operators/CostReport.ts';
import type { CostRow } from '../operators/HostStatus.ts';
import type { CostRecord } from './CostRecord.ts';

function getRowName(record: CostRecord, by: CostGrouping): string {
  switch (by) {
    case 'stage':
      return `${record.pipelineId}/${record.stageId}`;
    case 'account':
      return record.accountId;
    default:
      throw exhaustiveSwitchError(by);
  }
}

/**
 * Groups cost for operators. Both groupings add up the same records, so their totals are equal.
 *
 * @param records - sums over all incarnations
 * @param by - what to group by
 * @param isWholeFleet - whether the records are those of all hosts
 * @returns the report, rows by name
 */
export function createCostReport(
  records: readonly CostRecord[],
  by: CostGrouping,
  isWholeFleet = true,
): CostReport {
  const rows = new Map<string, CostRow>();
  records.forEach((record) => {
    const name = getRowName(record, by);
    const existing = rows.get(name) ?? { name, attemptCount: 0, costMicros: 0 };
    rows.set(name, {
      name,
      attemptCount: existing.attemptCount + record.attemptCount,
      costMicros: existing.costMicros + record.costMicros,
    });
  });
  const sorted = [...rows.values()].sort((left, right) => left.name.localeCompare(right.name));
  return {
    by,
    rows: sorted,
    totalMicros: sorted.reduce((sum, { costMicros }) => sum + costMicros, 0),
    isWholeFleet,
  };
}
