import type { AttemptFailure } from '../upstreams/AttemptFailure.ts';
import type { ColdReason } from './ColdReason.ts';

/** Evidence shows that the upstream has restarted or lost its caches. */
export interface StartedEvent {
  readonly kind: 'started';
  readonly reason: ColdReason;
  readonly startedAtMs: number;
}

/** A report of the same process as before arrived. */
export interface ConfirmedEvent {
  readonly kind: 'confirmed';
  readonly startedAtMs: number;
  /** Latest time at which the upstream can have sent the report. */
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

/** Operators have returned the upstream to service. */
export interface DrainClearedEvent {
  readonly kind: 'drainCleared';
}

/** The last running attempt of this host at the upstream has ended. */
export interface EmptiedEvent {
  readonly kind: 'emptied';
}

/** Time has passed. */
export interface TickedEvent {
  readonly kind: 'ticked';
}

/** Event that may change the health state of an upstream. */
export type HealthEvent =
  | StartedEvent | ConfirmedEvent | SucceededEvent | FailedEvent
  | DrainSetEvent | DrainClearedEvent | EmptiedEvent | TickedEvent;
