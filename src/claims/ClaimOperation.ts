import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { HostId, IncarnationId } from '../lib/ids.ts';

/** Outcome that is stored with a claim. */
export type RecordedOutcome =
  | { readonly kind: 'answer'; readonly answer: RequestAnswer }
  /** The answer was too large to store; the host that ran the request may still have it. */
  | { readonly kind: 'digestOnly'; readonly digest: string; readonly hostId: HostId };

/** Claims a key for one request. */
export interface ClaimKeyOperation {
  readonly kind: 'claim';
  readonly key: string;
  /** Identifies the claimer; unguessable, and new for each request. */
  readonly token: string;
  readonly hostId: HostId;
  readonly incarnationId: IncarnationId;
  readonly inputDigest: string;
}

/** Records the outcome of a claimed key. */
export interface RecordOutcomeOperation {
  readonly kind: 'outcome';
  readonly key: string;
  readonly token: string;
  readonly outcome: RecordedOutcome;
}

/** Releases a claim under which no byte was sent; the token can never be granted again. */
export interface ReleaseOperation {
  readonly kind: 'release';
  readonly key: string;
  readonly token: string;
}

/** One change of the claim log. It is idempotent, so a message may arrive more than once. */
export type ClaimOperation = ClaimKeyOperation | RecordOutcomeOperation | ReleaseOperation;

/** Result of an operation. */
export type ClaimResult =
  | { readonly kind: 'granted' }
  | { readonly kind: 'stored' }
  | { readonly kind: 'completed'; readonly outcome: RecordedOutcome }
  | {
    readonly kind: 'held';
    readonly hostId: HostId;
    readonly incarnationId: IncarnationId;
    /** How long the claim has been held. */
    readonly ageMs: number;
  }
  | { readonly kind: 'keyReused' }
  /** The ticket is older than its lifetime, or its issuer did not answer: outcome unknown. */
  | { readonly kind: 'expired' }
  | {
    readonly kind: 'unavailable';
    /** True when a read made after the operation was submitted showed that the key never ran. */
    readonly isKeyHistoryKnown: boolean;
    /** True when the claim may still become durable, so that it has to be released. */
    readonly isUncertain: boolean;
  };
