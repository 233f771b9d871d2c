import type {
  AttemptId, PoolId, RequestId, StageId, UpstreamId,
} from '../../lib/ids.ts';

/** One send of one stage to one upstream, until its end is known and its cost booked. */
export interface AttemptRecord {
  readonly attemptId: AttemptId;
  readonly requestId: RequestId;
  readonly poolId: PoolId;
  readonly stageId: StageId;
  readonly stageIndex: number;
  readonly upstreamId: UpstreamId;
  readonly sentAtMs: number;
  /** Whether the attempt has its upstream to itself. */
  readonly isAlone: boolean;
  /** False once the result is no longer wanted; its cost is still booked. */
  isWanted: boolean;
  /** True while the attempt holds a slot at its upstream. */
  holdsSlot: boolean;
  /** True when the outcome of an answered request is recorded once this attempt ends. */
  decidesOutcome: boolean;
}
