import type { ColdReason } from './ColdReason.ts';

/** Just started, or not known to be warm: takes granted attempts only. */
export interface ColdState {
  readonly kind: 'cold';
  readonly reason: ColdReason;
  /** When its process started, as well as is known. */
  readonly startedAtMs: number;
  /** Until when nothing is sent, after it refused, crashed or could not be reached. */
  readonly holdUntilMs: number;
  /** Failures in a row while cold or warming; each doubles the hold. */
  readonly failureCount: number;
}

/** Has answered since its start: still takes granted attempts only, until the evidence suffices. */
export interface WarmingState {
  readonly kind: 'warming';
  readonly startedAtMs: number;
  readonly successCount: number;
  /** Failures in a row before the first success; kept for a fall back to cold. */
  readonly failureCount: number;
}

/** Takes work up to its concurrency limit. */
export interface WarmState {
  readonly kind: 'warm';
  readonly startedAtMs: number;
  /** Connections in a row that could not be made. */
  readonly unreachableCount: number;
}

/** Taken out of service: no new work, running attempts end. */
export interface DrainingState {
  readonly kind: 'draining';
  readonly startedAtMs: number;
}

/** Taken out of service, and nothing of this host runs there. */
export interface GoneState {
  readonly kind: 'gone';
  readonly startedAtMs: number;
}

/** Where an upstream stands, as this host sees it. */
export type HealthState = ColdState | WarmingState | WarmState | DrainingState | GoneState;
