import type { RequestAnswer } from '../../answers/RequestAnswer.ts';
import type { PipelineRecord, StageRecord } from '../../configuration/records/PipelineRecord.ts';
import type {
  AccountId, AttemptId, IdempotencyKey, RequestId, UpstreamId,
} from '../../lib/ids.ts';
import type { ExplanationLine } from '../ExplanationLine.ts';

/** Where a request stands. */
export const REQUEST_STATE = {
  /** Waits for its claim to become durable. */
  claiming: 'claiming',
  /** Waits for an upstream of the stage's pool. */
  queued: 'queued',
  /** An attempt of the stage is with an upstream. */
  running: 'running',
  /** Waits for a request elsewhere that holds the same key. */
  following: 'following',
  /** The final answer went out. */
  answered: 'answered',
} as const;

/** Where a request stands. */
export type RequestState = typeof REQUEST_STATE[keyof typeof REQUEST_STATE];

/** What one stage took so far. */
export interface StageProgress {
  readonly stage: StageRecord;
  startedAtMs: number;
  durationMs: number;
  costMicros: number;
  attemptCount: number;
  upstreamId: UpstreamId | null;
}

/** One request of a caller, from its arrival until its answer is forgotten. */
export interface RequestRecord {
  readonly requestId: RequestId;
  readonly accountId: AccountId;
  /** The pipeline as it was declared on arrival; a later change does not touch running requests. */
  readonly pipeline: PipelineRecord;
  readonly idempotencyKey: IdempotencyKey | null;
  readonly input: string;
  /** SHA-256 over account, pipeline and input, hexadecimal. */
  readonly fingerprint: string;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly traceparent: string;
  state: RequestState;
  /** Index of the stage that waits or runs. */
  stageIndex: number;
  /** Input of that stage: the previous stage's output. */
  stageInput: string;
  readonly stages: StageProgress[];
  /** The attempt that is with an upstream. */
  attemptId: AttemptId | null;
  /** Upstreams that failed the present stage. */
  failedUpstreamIds: UpstreamId[];
  /** True while nobody listens for the answer. */
  isAbandoned: boolean;
  /** True once the claim of the request's key is durable in its name. */
  isClaimed: boolean;
  /** True once a byte of a non-repeatable stage may have left this host. */
  mayHaveRun: boolean;
  /** Text of the last stage that was passed to the caller. */
  streamedText: string;
  answer: RequestAnswer | null;
  readonly explanation: ExplanationLine[];
}
