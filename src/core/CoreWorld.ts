import type { Admission } from '../admission/Admission.ts';
import type { StageLatencies } from '../admission/StageLatencies.ts';
import type { ClaimPort } from '../claims/ClaimPort.ts';
import type { ConfigurationManager } from '../configuration/ConfigurationManager.ts';
import type { ConfigurationIndex } from '../configuration/ConfigurationIndex.ts';
import type { CostLedger } from '../cost/CostLedger.ts';
import type { CostPort } from '../cost/CostPort.ts';
import type { FleetManager } from '../fleet/FleetManager.ts';
import type { AttemptId, RequestId } from '../lib/ids.ts';
import type { Quarantine } from '../quarantine/Quarantine.ts';
import type { RemoteAnswerFetcher } from '../resumption/RemoteAnswerFetcher.ts';
import type { PoolRouter } from '../routing/PoolRouter.ts';
import type { CoreContext } from './CoreContext.ts';
import type { CoreInbox } from './CoreInbox.ts';
import type { CoreOptions } from './CoreOptions.ts';
import type { DueQueue } from './DueQueue.ts';
import type { AttemptRecord } from './tables/AttemptRecord.ts';
import type { PoolTable } from './tables/PoolTable.ts';
import type { RequestRecord } from './tables/RequestRecord.ts';

/** The tables, work lists and managers over which the systems run. */
export interface CoreWorld {
  readonly context: CoreContext;
  readonly options: CoreOptions;
  readonly inbox: CoreInbox;
  readonly requests: Map<RequestId, RequestRecord>;
  readonly attempts: Map<AttemptId, AttemptRecord>;
  readonly pools: PoolTable;
  /** Attempts that timed out and may still end. */
  readonly lateAttempts: DueQueue<AttemptId>;
  readonly deadlines: DueQueue<RequestId>;
  /** Requests that follow another one under their key, by when they ask again. */
  readonly claimRetries: DueQueue<RequestId>;
  /** Requests whose caller went away, by when they are given up. */
  readonly resumeDeadlines: DueQueue<RequestId>;
  /** Requests that were answered, oldest first. */
  readonly answeredIds: RequestId[];
  /** Answers to forget. */
  readonly answerExpiries: DueQueue<RequestId>;
  readonly admission: Admission;
  readonly latencies: StageLatencies;
  readonly quarantine: Quarantine;
  readonly remoteAnswers: RemoteAnswerFetcher;
  readonly router: PoolRouter;
  readonly claims: ClaimPort;
  readonly costs: CostPort;
  readonly ledger?: CostLedger;
  readonly configurationManager: ConfigurationManager;
  /** Null for a core that works without peers. */
  readonly fleet: FleetManager | null;
  configuration: ConfigurationIndex;
  /** Requests without a final answer. */
  inFlightCount: number;
  /** When this host was told to stop, or was taken out of service; null while it serves. */
  leavingSinceMs: number | null;
  /** Whether the process is to end once nothing runs. */
  isStopping: boolean;
  isStopped: boolean;
}
