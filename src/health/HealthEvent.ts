import type { AttemptFailure } from '../upstreams/AttemptFailure.ts';
import type { ColdReason } from './ColdReason.ts';

/** Evidence of a new start, or that caches were lost. */
export interface StartedEvent {
  readonly kind: 'started';
  readonly reason: ColdReason;
  readonly startedAtMs: number;
}

/** A report from the same process as before, made at a known time. */
export interface ConfirmedEvent {
  readonly kind: 'confirmed';
  readonly startedAtMs: number;
  /** Latest time at which the upstream can have made the report. */
  readonly reportedAtMs: number;
}

/** An attempt succeeded. */
export interface SucceededEvent {
  readonly kind: 'succeeded';
}

/** An attempt failed. */
export interface FailedEvent {
  readonly kind: 'failed';
  readonly failure: AttemptFailure;
}

/** Operators have taken the upstream out of service. */
export interface DrainSetEvent {
  readonly kind: 'drainSet';
}

/** Operators have put the upstream back into service. */
export interface DrainClearedEvent {
  readonly kind: 'drainCleared';
}

/** The last attempt of this host at the upstream has ended. */
export interface EmptiedEvent {
  readonly kind: 'emptied';
}

/** Time has passed. */
export interface TickedEvent {
  readonly kind: 'ticked';
}

/** What moves the state of an upstream. */
export type HealthEvent =
  | StartedEvent | ConfirmedEvent | SucceededEvent | FailedEvent
  | DrainSetEvent | DrainClearedEvent | EmptiedEvent | TickedEvent;
