import type { StageId, UpstreamId } from '../lib/ids.ts';
import type { RefusalCode } from './REFUSAL_CODE.ts';

/** Duration and cost of one stage, over all its attempts. */
export interface StageSummary {
  readonly stageId: StageId;
  /** The upstream whose result was used; null when no attempt succeeded. */
  readonly upstreamId: UpstreamId | null;
  readonly durationMs: number;
  readonly costMicros: number;
  readonly attemptCount: number;
}

/** A final answer with the complete result. */
export interface CompletedAnswer {
  readonly kind: 'completed';
  readonly output: string;
  /** SHA-256 of the output in UTF-8, hexadecimal. */
  readonly digest: string;
  readonly costMicros: number;
  readonly stages: readonly StageSummary[];
}

/** A final answer without a result. */
export interface RefusedAnswer {
  readonly kind: 'refused';
  readonly code: RefusalCode;
  /** True only when no byte of a non-repeatable stage was ever sent for this request's key. */
  readonly notRun: boolean;
  /** Time after which the caller may retry; null when a retry can't help. */
  readonly retryAfterMs: number | null;
  readonly detail: string;
  readonly costMicros: number;
  readonly stages: readonly StageSummary[];
}

/** The final answer to a request. */
export type RequestAnswer = CompletedAnswer | RefusedAnswer;
