import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';

/**
 * Whether a start of an upstream goes on: `unknown` when nothing comes back, which a cut or a full
 * queue looks like too.
 */
export type SignOfLife = 'alive' | 'ended' | 'unknown';

/** Asks upstreams whether they live. */
export interface UpstreamCheck {
  /**
   * @param entry - a start of an upstream
   * @param healthPath - where its pool is asked
   * @returns what was seen
   */
  check(entry: UpstreamEntry, healthPath: string): Promise<SignOfLife>;
}
