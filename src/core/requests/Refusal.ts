import type { RefusalCode } from '../../answers/REFUSAL_CODE.ts';

/** Reason for which a request ends without a result. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly detail: string;
  /** Delay after which the caller may retry; null when a retry can't succeed. */
  readonly retryAfterMs: number | null;
}
