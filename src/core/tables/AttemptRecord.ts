import type {
  AttemptId, PoolId, RequestId, StageId, UpstreamId,
} from '../../lib/ids.ts';

/** One send of a stage to an upstream, kept until its end is known and its cost recorded. */
export interface AttemptRecord {
  readonly attemptId: AttemptId;
  readonly requestId: RequestId;
  readonly poolId: PoolId;
  readonly stageId: StageId;
  readonly stageIndex: number;
  readonly upstreamId: UpstreamId;
  readonly sentAtMs: number;
  /** Whether the upstream runs no other attempt at the same time. */
  readonly isAlone: boolean;
  /** False once the result is no longer needed; its cost is still recorded. */
  isWanted: boolean;
  /** True while the attempt occupies a slot of its upstream. */
  holdsSlot: boolean;
  /** True when the outcome of an already answered request is recorded once this attempt ends. */
  decidesOutcome: boolean;
}
