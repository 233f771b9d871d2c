import type { CostRow } from './HostStatus.ts';

/** Groupings of a cost report. */
export const COST_GROUPING = {
  stage: 'stage',
  account: 'account',
} as const;

/** Grouping of a cost report. */
export type CostGrouping = typeof COST_GROUPING[keyof typeof COST_GROUPING];

/** Booked cost by group. Both groupings of the same records have the same total. */
export interface CostReport {
  readonly by: CostGrouping;
  readonly rows: readonly CostRow[];
  readonly totalMicros: number;
  /** False when the platform did not answer, so that the rows cover only this host's records. */
  readonly isWholeFleet: boolean;
}
