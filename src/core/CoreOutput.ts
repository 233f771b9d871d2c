import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { PoolRecord } from '../configuration/records/PoolRecord.ts';
import type {
  AccountId, AttemptId, HostId, IdempotencyKey, OperationId, PipelineId, RequestId, StageId,
  UpstreamId,
} from '../lib/ids.ts';
import type { OperatorAnswer } from '../operators/OperatorAnswer.ts';
import type { PeerMessage } from '../peers/PeerMessage.ts';
import type { KeyValueCall, KeyValueClass } from '../platform/KeyValueCall.ts';

/** Sends one attempt of a stage to an upstream. */
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
  /** Maximum duration of the attempt from now. */
  readonly timeoutMs: number;
  /** Attempts with a lower value run first. */
  readonly priority: number;
  readonly traceparent: string;
}

/** Cancels an attempt whose result is no longer needed. */
export interface CancelAttemptOutput {
  readonly kind: 'cancelAttempt';
  readonly attemptId: AttemptId;
}

/** Sends a part of the last stage's output to a streaming caller. */
export interface AnswerChunkOutput {
  readonly kind: 'answerChunk';
  readonly requestId: RequestId;
  readonly offset: number;
  readonly text: string;
}

/** Sends the final answer to a request. */
export interface AnswerRequestOutput {
  readonly kind: 'answerRequest';
  readonly requestId: RequestId;
  readonly answer: RequestAnswer;
}

/** Calls the platform's key-value service. */
export interface CallKeyValueOutput {
  readonly kind: 'callKeyValue';
  readonly operationId: OperationId;
  readonly callClass: KeyValueClass;
  readonly call: KeyValueCall;
}

/** Sends a message to a peer; a message on a broken connection is lost without an error. */
export interface SendPeerMessageOutput {
  readonly kind: 'sendPeerMessage';
  readonly toHostId: HostId;
  /** `IP:port`. */
  readonly address: string;
  readonly message: PeerMessage;
}

/** Answers an operator's call. */
export interface AnswerOperatorOutput {
  readonly kind: 'answerOperator';
  readonly callId: string;
  readonly answer: OperatorAnswer;
}

/** Reports that all work has ended and the process may exit. */
export interface StoppedOutput {
  readonly kind: 'stopped';
}

/** An action that the core requests from its adapters. */
export type CoreOutput =
  | SendAttemptOutput | CancelAttemptOutput
  | AnswerChunkOutput | AnswerRequestOutput
  | CallKeyValueOutput | SendPeerMessageOutput
  | AnswerOperatorOutput | StoppedOutput;
