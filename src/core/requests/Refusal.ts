import type { RefusalCode } from '../../answers/REFUSAL_CODE.ts';

/** Why a request ends without a result. */
export interface Refusal {
  readonly code: RefusalCode;
  readonly detail: string;
  /** When the caller may come back; null when asking again can't help. */
  readonly retryAfterMs: number | null;
}
