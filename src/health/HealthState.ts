import type { ColdReason } from './ColdReason.ts';

/** Has just started, or is not known to be warm: accepts granted attempts only. */
export interface ColdState {
  readonly kind: 'cold';
  readonly reason: ColdReason;
  /** Best known start time of its process. */
  readonly startedAtMs: number;
  /** Nothing is sent until then, after a refusal, a crash or a failed connection. */
  readonly holdUntilMs: number;
  /** Consecutive failures while cold or warming; each doubles the hold. */
  readonly failureCount: number;
}

/** Has answered since its start, but accepts granted attempts only until it is proven warm. */
export interface WarmingState {
  readonly kind: 'warming';
  readonly startedAtMs: number;
  readonly successCount: number;
  /** Consecutive failures before the first success; kept for a return to cold. */
  readonly failureCount: number;
}

/** Accepts attempts up to its concurrency limit. */
export interface WarmState {
  readonly kind: 'warm';
  readonly startedAtMs: number;
  /** Consecutive failed connections. */
  readonly unreachableCount: number;
}

/** Out of service: accepts no new attempts; running attempts finish. */
export interface DrainingState {
  readonly kind: 'draining';
  readonly startedAtMs: number;
}

/** Out of service, without running attempts of this host. */
export interface GoneState {
  readonly kind: 'gone';
  readonly startedAtMs: number;
}

/** Health state of an upstream at this host. */
export type HealthState = ColdState | WarmingState | WarmState | DrainingState | GoneState;
