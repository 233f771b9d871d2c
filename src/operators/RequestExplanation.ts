import type { ExplanationLine } from '../core/ExplanationLine.ts';

/** Decisions that explain where a request ran or why it did not run. */
export interface RequestExplanation {
  readonly requestId: string;
  readonly accountId: string;
  readonly pipelineId: string;
  /** `running`, `completed`, or the code of the refusal. */
  readonly outcome: string;
  readonly lines: readonly ExplanationLine[];
}
