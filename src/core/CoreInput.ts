import type {
  AccountId, AttemptId, HostId, IdempotencyKey, IncarnationId, OperationId, PipelineId, RequestId,
  UpstreamId,
} from '../lib/ids.ts';
import type { OperatorCall } from '../operators/OperatorCall.ts';
import type { HostListEntry } from '../platform/HostListEntry.ts';
import type { KeyValueAnswer } from '../platform/KeyValueCall.ts';
import type { PeerMessage } from '../peers/PeerMessage.ts';
import type { AttemptFailure } from '../upstreams/AttemptFailure.ts';

/** An authenticated caller submitted a request. */
export interface RequestSubmittedInput {
  readonly kind: 'requestSubmitted';
  readonly requestId: RequestId;
  readonly accountId: AccountId;
  readonly pipelineId: PipelineId;
  readonly idempotencyKey: IdempotencyKey | null;
  readonly input: string;
  /** Time the caller allows from now; null for the pipeline's own deadline. */
  readonly deadlineMs: number | null;
  /** W3C trace context; empty for none. */
  readonly traceparent: string;
}

/** The caller cancelled the request, or went away while only repeatable stages had run. */
export interface RequestAbandonedInput {
  readonly kind: 'requestAbandoned';
  readonly requestId: RequestId;
}

/** A caller listens again to a request that it had left. */
export interface RequestResumedInput {
  readonly kind: 'requestResumed';
  readonly requestId: RequestId;
}

/** A caller asks here for the answer of a request that another host took. */
export interface AnswerQueriedInput {
  readonly kind: 'answerQueried';
  readonly requestId: RequestId;
  readonly accountId: AccountId;
}

/** An upstream streamed a part of its result. */
export interface AttemptChunkInput {
  readonly kind: 'attemptChunk';
  readonly attemptId: AttemptId;
  readonly upstreamIncarnation: string;
  /** Offset of the text in the result, in UTF-16 code units. */
  readonly offset: number;
  readonly text: string;
}

/** An upstream returned a whole result. */
export interface AttemptSucceededInput {
  readonly kind: 'attemptSucceeded';
  readonly attemptId: AttemptId;
  readonly upstreamIncarnation: string;
  readonly output: string;
  readonly costMicros: number;
}

/** An attempt ended without a result. */
export interface AttemptFailedInput {
  readonly kind: 'attemptFailed';
  readonly attemptId: AttemptId;
  readonly failure: AttemptFailure;
  readonly costMicros: number;
  /** When the upstream asked to come back; null when it did not say. */
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

/** A load report could not be fetched. */
export interface LoadUnavailableInput {
  readonly kind: 'loadUnavailable';
  readonly upstreamId: UpstreamId;
}

/** The platform's key-value service answered, or its answer is known to be lost. */
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

/** A message to a peer could not be handed to a connection. */
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

/** The process was asked to stop; running requests finish first. */
export interface StopRequestedInput {
  readonly kind: 'stopRequested';
}

/** Everything that the core learns from outside. */
export type CoreInput =
  | RequestSubmittedInput | RequestAbandonedInput | RequestResumedInput
  | AnswerQueriedInput
  | AttemptChunkInput | AttemptSucceededInput | AttemptFailedInput
  | LoadReportedInput | LoadUnavailableInput
  | KeyValueAnsweredInput | HostListReadInput
  | PeerMessageReceivedInput | PeerUnreachableInput
  | OperatorCalledInput | StopRequestedInput;
