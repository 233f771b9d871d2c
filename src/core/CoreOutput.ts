import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { PoolRecord } from '../configuration/records/PoolRecord.ts';
import type {
  AccountId, AttemptId, HostId, IdempotencyKey, OperationId, PipelineId, RequestId, StageId,
  UpstreamId,
} from '../lib/ids.ts';
import type { OperatorAnswer } from '../operators/OperatorAnswer.ts';
import type { PeerMessage } from '../peers/PeerMessage.ts';
import type { KeyValueCall, KeyValueClass } from '../platform/KeyValueCall.ts';

/** Send one attempt of a stage to an upstream. */
export interface SendAttemptOutput {
  readonly kind: 'sendAttempt';
  readonly attemptId: AttemptId;
  readonly requestId: RequestId;
  readonly accountId: AccountId;
  readonly pipelineId: PipelineId;
  readonly stageId: StageId;
  readonly upstreamId: UpstreamId;
  readonly url: string;
  readonly poolKind: PoolRecord['kind'];
  readonly input: string;
  readonly idempotencyKey: IdempotencyKey | null;
  /** Time the attempt may take from now. */
  readonly timeoutMs: number;
  /** Lower runs earlier. */
  readonly priority: number;
  readonly traceparent: string;
}

/** Stop an attempt whose result is no longer wanted. */
export interface CancelAttemptOutput {
  readonly kind: 'cancelAttempt';
  readonly attemptId: AttemptId;
}

/** A part of the last stage's result, for a caller that streams. */
export interface AnswerChunkOutput {
  readonly kind: 'answerChunk';
  readonly requestId: RequestId;
  readonly offset: number;
  readonly text: string;
}

/** The final answer to a request. */
export interface AnswerRequestOutput {
  readonly kind: 'answerRequest';
  readonly requestId: RequestId;
  readonly answer: RequestAnswer;
}

/** Call the platform's key-value service. */
export interface CallKeyValueOutput {
  readonly kind: 'callKeyValue';
  readonly operationId: OperationId;
  readonly callClass: KeyValueClass;
  readonly call: KeyValueCall;
}

/** Send a message to a peer; lost silently when the connection breaks. */
export interface SendPeerMessageOutput {
  readonly kind: 'sendPeerMessage';
  readonly toHostId: HostId;
  /** `IP:port`. */
  readonly address: string;
  readonly message: PeerMessage;
}

/** Answer an operator's call. */
export interface AnswerOperatorOutput {
  readonly kind: 'answerOperator';
  readonly callId: string;
  readonly answer: OperatorAnswer;
}

/** Everything is finished; the process may exit. */
export interface StoppedOutput {
  readonly kind: 'stopped';
}

/** Everything that the core wants done outside. */
export type CoreOutput =
  | SendAttemptOutput | CancelAttemptOutput
  | AnswerChunkOutput | AnswerRequestOutput
  | CallKeyValueOutput | SendPeerMessageOutput
  | AnswerOperatorOutput | StoppedOutput;
