import type { HostId, PoolId } from '../lib/ids.ts';
import type { LatencyCounts } from './LatencyCounts.ts';
import type { RolloutStatus } from './RolloutStatus.ts';

/** Answers of one side of a rollout on one route. */
export interface SideCounts {
  readonly sentCount: number;
  /** Answers that have been judged, good or bad. */
  readonly judgedCount: number;
  /** Failures, broken exchanges and answers that took much longer than usual. */
  readonly badCount: number;
}

/** What one host has seen on one route since the order. */
export interface RouteCounts {
  readonly route: string;
  readonly target: SideCounts;
  /** All versions other than the target. */
  readonly others: SideCounts;
  /** Times to the first byte at other versions. */
  readonly firstLatencies: LatencyCounts;
  /** Times to the end of the answer at other versions. */
  readonly totalLatencies: LatencyCounts;
}

/** Latencies of one route above which an answer counts as bad. */
export interface SlowBounds {
  readonly route: string;
  readonly firstMs: number;
  readonly totalMs: number;
}

/**
 * What one process of a host has seen of a rollout since its order. The counts are cumulative, so
 * that a report may be lost or arrive twice, and another leader needs no earlier ones.
 */
export interface RolloutReport {
  readonly hostId: HostId;
  /** Differs for each process of a host. */
  readonly processId: string;
  readonly poolId: PoolId;
  readonly orderId: string;
  /** Revision of the status by which the host acts; 0 when it knows none of this order. */
  readonly statusRevision: number;
  /** Requests that run at other versions, or may be sent to them. */
  readonly otherOpenCount: number;
  /** Whether the host itself has stopped sending to the target. */
  readonly hasStopped: boolean;
  readonly routes: readonly RouteCounts[];
}

/** Response of a host to a report. */
export interface RolloutResponse {
  /** Newest status that the responding host knows of; null when it knows none. */
  readonly status: RolloutStatus | null;
  /** Whether the target was found bad, also while the store has no such status yet. */
  readonly isStopped: boolean;
  readonly slowBounds: readonly SlowBounds[];
}

/** HTTP paths on the peer port. */
export const ROLLOUT_PATHS = { report: '/rollouts/reports' } as const;
