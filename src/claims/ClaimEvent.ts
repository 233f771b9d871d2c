import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { HostId, IncarnationId, RequestId } from '../lib/ids.ts';

/** Why the outcome of a key can't be known. */
export const OUTCOME_UNKNOWN_REASON = {
  /** The incarnation that claimed the key is gone, or held it longer than any request runs. */
  claimerGone: 'claimerGone',
  /** The key is older than claims are kept. */
  keyExpired: 'keyExpired',
  /** The incarnation that minted the ticket is gone or can't be reached. */
  ticketHostGone: 'ticketHostGone',
} as const;

/** Why the outcome of a key can't be known. */
export type OutcomeUnknownReason =
  typeof OUTCOME_UNKNOWN_REASON[keyof typeof OUTCOME_UNKNOWN_REASON];

/** The request may send its non-repeatable stages; no other request with its key ever may. */
export interface ClaimGrantedEvent {
  readonly kind: 'granted';
  readonly requestId: RequestId;
}

/** The key ran before and this is its answer. */
export interface CompletedBeforeEvent {
  readonly kind: 'completedBefore';
  readonly requestId: RequestId;
  readonly answer: RequestAnswer;
}

/** The key ran before; its answer was too large to keep, the host that ran it may have it. */
export interface CompletedTooLargeEvent {
  readonly kind: 'completedTooLarge';
  readonly requestId: RequestId;
  readonly hostId: HostId;
  readonly digest: string;
}

/** The key is running; ask again a little later. */
export interface RunningElsewhereEvent {
  readonly kind: 'runningElsewhere';
  readonly requestId: RequestId;
  readonly hostId: HostId;
  readonly incarnationId: IncarnationId;
}

/** The key may have run; never answered as not run. */
export interface OutcomeUnknownEvent {
  readonly kind: 'outcomeUnknown';
  readonly requestId: RequestId;
  readonly reason: OutcomeUnknownReason;
}

/** The key was used with another input. */
export interface KeyReusedEvent {
  readonly kind: 'keyReused';
  readonly requestId: RequestId;
}

/** No claim could be made durable; the request was not sent and must not be. */
export interface ClaimUnavailableEvent {
  readonly kind: 'unavailable';
  readonly requestId: RequestId;
  /** Whether `notRun: true` may be answered for the key. */
  readonly isKeyHistoryKnown: boolean;
}

/** The one answer to a request for a claim. */
export type ClaimEvent =
  | ClaimGrantedEvent | CompletedBeforeEvent | CompletedTooLargeEvent | RunningElsewhereEvent
  | OutcomeUnknownEvent | KeyReusedEvent | ClaimUnavailableEvent;
