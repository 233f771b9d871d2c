import type { CostRow } from './HostStatus.ts';

/** What a cost report is grouped by. */
export const COST_GROUPING = {
  stage: 'stage',
  account: 'account',
} as const;

/** What a cost report is grouped by. */
export type CostGrouping = typeof COST_GROUPING[keyof typeof COST_GROUPING];

/** Booked cost, grouped. Both groupings of the same books have the same total. */
export interface CostReport {
  readonly by: CostGrouping;
  readonly rows: readonly CostRow[];
  readonly totalMicros: number;
  /** False when the platform did not answer, so that only this host's own books are shown. */
  readonly isWholeFleet: boolean;
}
