import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { HostId, IncarnationId, RequestId } from '../lib/ids.ts';

/** Reasons why the outcome of a key can't be known. */
export const OUTCOME_UNKNOWN_REASON = {
  /** The incarnation that claimed the key is gone, or has held it longer than any request runs. */
  claimerGone: 'claimerGone',
  /** The key is older than the retention of claims. */
  keyExpired: 'keyExpired',
  /** The incarnation that issued the ticket is gone or can't be reached. */
  ticketHostGone: 'ticketHostGone',
} as const;

/** Reason why the outcome of a key can't be known. */
export type OutcomeUnknownReason =
  typeof OUTCOME_UNKNOWN_REASON[keyof typeof OUTCOME_UNKNOWN_REASON];

/** The request may send its non-repeatable stages; no other request with its key ever may. */
export interface ClaimGrantedEvent {
  readonly kind: 'granted';
  readonly requestId: RequestId;
}

/** A request with the key has completed; carries its answer. */
export interface CompletedBeforeEvent {
  readonly kind: 'completedBefore';
  readonly requestId: RequestId;
  readonly answer: RequestAnswer;
}

/** A request with the key has completed; its host may still have the answer, too large to store. */
export interface CompletedTooLargeEvent {
  readonly kind: 'completedTooLarge';
  readonly requestId: RequestId;
  readonly hostId: HostId;
  readonly digest: string;
}

/** A request with the key is still running; the claim can be requested again later. */
export interface RunningElsewhereEvent {
  readonly kind: 'runningElsewhere';
  readonly requestId: RequestId;
  readonly hostId: HostId;
  readonly incarnationId: IncarnationId;
}

/** A request with the key may have run, so `notRun` must not be answered. */
export interface OutcomeUnknownEvent {
  readonly kind: 'outcomeUnknown';
  readonly requestId: RequestId;
  readonly reason: OutcomeUnknownReason;
}

/** The key was already used with another input. */
export interface KeyReusedEvent {
  readonly kind: 'keyReused';
  readonly requestId: RequestId;
}

/** The claim could not be made durable; the request was not sent and must not be. */
export interface ClaimUnavailableEvent {
  readonly kind: 'unavailable';
  readonly requestId: RequestId;
  /** Whether `notRun: true` may be answered for the key. */
  readonly isKeyHistoryKnown: boolean;
}

/** Final result of a requested claim; each request gets exactly one. */
export type ClaimEvent =
  | ClaimGrantedEvent | CompletedBeforeEvent | CompletedTooLargeEvent | RunningElsewhereEvent
  | OutcomeUnknownEvent | KeyReusedEvent | ClaimUnavailableEvent;
