import type { UpstreamId } from '../lib/ids.ts';
import type { AttemptFailure } from '../upstreams/AttemptFailure.ts';

/** Outcome of an attempt. */
export interface AttemptOutcome {
  readonly upstreamId: UpstreamId;
  /** Incarnation that answered; null without an answer. */
  readonly upstreamIncarnation: string | null;
  /** Null for a success. */
  readonly failure: AttemptFailure | null;
  readonly latencyMs: number;
}
