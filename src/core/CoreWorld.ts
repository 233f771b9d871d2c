import type { ClaimPort } from '../claims/ClaimPort.ts';
import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import type { CostPort } from '../cost/CostPort.ts';
import type { AttemptId, PoolId, RequestId } from '../lib/ids.ts';
import type { PoolRouter } from '../routing/PoolRouter.ts';
import type { CoreContext } from './CoreContext.ts';
import type { CoreInbox } from './CoreInbox.ts';
import type { CoreOptions } from './CoreOptions.ts';
import type { DueQueue } from './DueQueue.ts';
import type { AttemptRecord } from './tables/AttemptRecord.ts';
import type { RequestRecord } from './tables/RequestRecord.ts';

/** The tables, work lists and managers over which the systems run. */
export interface CoreWorld {
  readonly context: CoreContext;
  readonly options: CoreOptions;
  readonly inbox: CoreInbox;
  readonly requests: Map<RequestId, RequestRecord>;
  readonly attempts: Map<AttemptId, AttemptRecord>;
  /** Attempts that timed out and may still end. */
  readonly lateAttempts: DueQueue<AttemptId>;
  /** Requests that wait for an upstream, by pool. */
  readonly waiting: Map<PoolId, RequestRecord[]>;
  readonly deadlines: DueQueue<RequestId>;
  /** Requests that were answered, oldest first. */
  readonly answered: RequestId[];
  /** Answers to forget. */
  readonly forgettings: DueQueue<RequestId>;
  readonly router: PoolRouter;
  readonly claims: ClaimPort;
  readonly costs: CostPort;
  configuration: ConfigurationRecord;
  /** Requests without a final answer. */
  inFlightCount: number;
  /** When the stop was requested; null while serving. */
  stopRequestedAtMs: number | null;
  isStopped: boolean;
}
