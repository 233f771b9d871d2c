import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { UpstreamNotice } from '../directory/UpstreamNotice.ts';

/**
 * Whether a start of an upstream goes on: `unknown` when nothing comes back, which a cut or a full
 * queue looks like too.
 */
export type Liveness = 'alive' | 'ended' | 'unknown';

/** Asks upstreams whether they live. */
export interface UpstreamCheck {
  /**
   * @param entry - a start of an upstream
   * @param healthPath - where its pool is asked
   * @returns what was seen
   */
  check(entry: UpstreamEntry, healthPath: string): Promise<Liveness>;
}

/** What came back when an upstream was asked for its health. */
export interface HealthCheckResult {
  readonly liveness: Liveness;
  /** What it said of itself. */
  readonly notice: UpstreamNotice;
  /** HTTP status; null when there was no answer. */
  readonly status: number | null;
}

/** Asks upstreams for their health over the wire; an adapter's part. */
export interface HealthClient {
  /**
   * @param entry - a start of an upstream
   * @param healthPath - where its pool is asked
   * @returns what came back
   */
  queryHealth(entry: UpstreamEntry, healthPath: string): Promise<HealthCheckResult>;
}
