import { getCostKey, type CostRecord } from './CostRecord.ts';

function combineByKey(
  records: readonly CostRecord[],
  combineNumbers: (left: number, right: number) => number,
): CostRecord[] {
  const byKey = new Map<string, CostRecord>();
  records.forEach((record) => {
    const key = getCostKey(record);
    const existing = byKey.get(key);
    byKey.set(key, existing === undefined ? record : {
      ...record,
      attemptCount: combineNumbers(existing.attemptCount, record.attemptCount),
      costMicros: combineNumbers(existing.costMicros, record.costMicros),
    });
  });
  return [...byKey.values()];
}

/**
 * Merges copies of one incarnation's sums. Sums only grow, so the larger is the newer; merging the
 * same copy again changes nothing.
 *
 * @param copies - records of one incarnation, in any order
 * @returns one record for each key
 */
export function mergeCostRecords(copies: readonly CostRecord[]): CostRecord[] {
  return combineByKey(copies, Math.max);
}

/**
 * Adds up records of different incarnations.
 *
 * @param records - at most one record for each key and incarnation
 * @returns one record for each key
 */
export function addCostRecords(records: readonly CostRecord[]): CostRecord[] {
  return combineByKey(records, (left, right) => left + right);
}
