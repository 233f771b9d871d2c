import type { RequestAnswer } from '../../answers/RequestAnswer.ts';
import type { PipelineRecord, StageRecord } from '../../configuration/records/PipelineRecord.ts';
import type {
  AccountId, AttemptId, IdempotencyKey, RequestId, UpstreamId,
} from '../../lib/ids.ts';
import type { ExplanationLine } from '../ExplanationLine.ts';

/** State of a request. */
export const REQUEST_STATE = {
  /** Waits for its claim to become durable. */
  claiming: 'claiming',
  /** Waits for an upstream of the stage's pool. */
  queued: 'queued',
  /** An attempt of the stage is with an upstream. */
  running: 'running',
  /** Waits for another request that holds the same idempotency key. */
  following: 'following',
  /** The final answer was sent. */
  answered: 'answered',
} as const;

/** State of a request. */
export type RequestState = typeof REQUEST_STATE[keyof typeof REQUEST_STATE];

/** Time, cost and attempts of one stage so far. */
export interface StageProgress {
  readonly stage: StageRecord;
  startedAtMs: number;
  durationMs: number;
  costMicros: number;
  attemptCount: number;
  upstreamId: UpstreamId | null;
}

/** One request of a caller, from its arrival until its answer is removed. */
export interface RequestRecord {
  readonly requestId: RequestId;
  readonly accountId: AccountId;
  /** The pipeline as configured on arrival; later changes don't affect running requests. */
  readonly pipeline: PipelineRecord;
  readonly idempotencyKey: IdempotencyKey | null;
  readonly input: string;
  /** SHA-256 of account, pipeline and input, in hexadecimal. */
  readonly fingerprint: string;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly traceparent: string;
  state: RequestState;
  /** Index of the stage that waits or runs. */
  stageIndex: number;
  /** Input of that stage: the output of the stage before it, or the request's own input. */
  stageInput: string;
  readonly stages: StageProgress[];
  /** The attempt that an upstream is running. */
  attemptId: AttemptId | null;
  /** Upstreams that failed to run the current stage. */
  failedUpstreamIds: UpstreamId[];
  /** True while no caller is connected for the answer. */
  isAbandoned: boolean;
  /** True once the claim that assigns the idempotency key to this request is durable. */
  isClaimed: boolean;
  /** True once any byte of a non-repeatable stage may have been sent by this host. */
  mayHaveRun: boolean;
  /** Output of the last stage that was already streamed to the caller. */
  streamedText: string;
  answer: RequestAnswer | null;
  readonly explanation: ExplanationLine[];
}
