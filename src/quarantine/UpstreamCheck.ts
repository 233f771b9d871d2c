import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { UpstreamNotice } from '../directory/UpstreamNotice.ts';

/**
 * Whether an upstream process still runs; `unknown` when a check gets no response, which a network
 * partition or a full queue causes too.
 */
export type Liveness = 'alive' | 'ended' | 'unknown';

/** Checks whether upstream processes are alive. */
export interface UpstreamCheck {
  /**
   * Checks one upstream process.
   *
   * @param entry - the upstream, with the time its process started
   * @param healthPath - path of its pool's health endpoint
   * @returns its liveness
   */
  check(entry: UpstreamEntry, healthPath: string): Promise<Liveness>;
}

/** Result of a health check of an upstream. */
export interface HealthCheckResult {
  readonly liveness: Liveness;
  /** Notice in the answer. */
  readonly notice: UpstreamNotice;
  /** HTTP status; null without an answer. */
  readonly status: number | null;
}

/** Sends health checks to upstreams; implemented by an adapter. */
export interface HealthClient {
  /**
   * Sends a health check to one upstream.
   *
   * @param entry - the upstream, with the time its process started
   * @param healthPath - path of its pool's health endpoint
   * @returns the result
   */
  queryHealth(entry: UpstreamEntry, healthPath: string): Promise<HealthCheckResult>;
}
