import type {
  AccountId, AttemptId, HostId, IdempotencyKey, IncarnationId, OperationId, PipelineId, RequestId,
  UpstreamId,
} from '../lib/ids.ts';
import type { OperatorCall } from '../operators/OperatorCall.ts';
import type { HostListEntry } from '../platform/HostListEntry.ts';
import type { KeyValueAnswer } from '../platform/KeyValueCall.ts';
import type { PeerMessage } from '../peers/PeerMessage.ts';
import type { AttemptFailure } from '../upstreams/AttemptFailure.ts';

/** Reports that an authenticated caller submitted a request. */
export interface RequestSubmittedInput {
  readonly kind: 'requestSubmitted';
  readonly requestId: RequestId;
  readonly accountId: AccountId;
  readonly pipelineId: PipelineId;
  readonly idempotencyKey: IdempotencyKey | null;
  readonly input: string;
  /** Deadline set by the caller, relative to now; null for the pipeline's own deadline. */
  readonly deadlineMs: number | null;
  /** W3C trace context; empty for none. */
  readonly traceparent: string;
}

/** The caller cancelled the request, or disconnected while only repeatable stages had run. */
export interface RequestAbandonedInput {
  readonly kind: 'requestAbandoned';
  readonly requestId: RequestId;
}

/** A caller reconnected to a request that it had disconnected from. */
export interface RequestResumedInput {
  readonly kind: 'requestResumed';
  readonly requestId: RequestId;
}

/** A caller queried this host for the answer to a request that another host accepted. */
export interface AnswerQueriedInput {
  readonly kind: 'answerQueried';
  readonly requestId: RequestId;
  readonly accountId: AccountId;
}

/** An upstream streamed a part of its output. */
export interface AttemptChunkInput {
  readonly kind: 'attemptChunk';
  readonly attemptId: AttemptId;
  readonly upstreamIncarnation: string;
  /** Offset of the text in the output, in UTF-16 code units. */
  readonly offset: number;
  readonly text: string;
}

/** An upstream returned its complete output. */
export interface AttemptSucceededInput {
  readonly kind: 'attemptSucceeded';
  readonly attemptId: AttemptId;
  readonly upstreamIncarnation: string;
  readonly output: string;
  readonly costMicros: number;
}

/** An attempt failed. */
export interface AttemptFailedInput {
  readonly kind: 'attemptFailed';
  readonly attemptId: AttemptId;
  readonly failure: AttemptFailure;
  readonly costMicros: number;
  /** Retry delay that the upstream asked for; null when it gave none. */
  readonly retryAfterMs: number | null;
  readonly detail: string;
}

/** An upstream reported its load. */
export interface LoadReportedInput {
  readonly kind: 'loadReported';
  readonly upstreamId: UpstreamId;
  readonly upstreamIncarnation: string;
  readonly uptimeMs: number;
  readonly runningCount: number;
  readonly queuedCount: number;
}

/** An upstream's load report could not be fetched. */
export interface LoadUnavailableInput {
  readonly kind: 'loadUnavailable';
  readonly upstreamId: UpstreamId;
}

/** The platform's key-value service answered, or its answer was lost. */
export interface KeyValueAnsweredInput {
  readonly kind: 'keyValueAnswered';
  readonly operationId: OperationId;
  readonly answer: KeyValueAnswer;
}

/** The platform's host list was read. */
export interface HostListReadInput {
  readonly kind: 'hostListRead';
  readonly hosts: readonly HostListEntry[];
}

/** A peer's message arrived on an authenticated connection. */
export interface PeerMessageReceivedInput {
  readonly kind: 'peerMessageReceived';
  readonly fromHostId: HostId;
  readonly fromIncarnationId: IncarnationId;
  readonly message: PeerMessage;
}

/** A message to a peer could not be written to a connection. */
export interface PeerUnreachableInput {
  readonly kind: 'peerUnreachable';
  readonly hostId: HostId;
}

/** An operator proposed an intent (validated) or confirmed a plan. */
export interface OperatorCalledInput {
  readonly kind: 'operatorCalled';
  readonly callId: string;
  readonly call: OperatorCall;
}

/** The process was asked to stop after running requests have finished. */
export interface StopRequestedInput {
  readonly kind: 'stopRequested';
}

/** An event that adapters report to the core. */
export type CoreInput =
  | RequestSubmittedInput | RequestAbandonedInput | RequestResumedInput
  | AnswerQueriedInput
  | AttemptChunkInput | AttemptSucceededInput | AttemptFailedInput
  | LoadReportedInput | LoadUnavailableInput
  | KeyValueAnsweredInput | HostListReadInput
  | PeerMessageReceivedInput | PeerUnreachableInput
  | OperatorCalledInput | StopRequestedInput;
