import type { UpstreamId } from '../lib/ids.ts';
import type { AttemptFailure } from '../upstreams/AttemptFailure.ts';

/** How an attempt ended. */
export interface AttemptOutcome {
  readonly upstreamId: UpstreamId;
  /** Incarnation that answered; null when none did. */
  readonly upstreamIncarnation: string | null;
  /** Null for a success. */
  readonly failure: AttemptFailure | null;
  readonly latencyMs: number;
}
