/** One decision about a request. */
export interface ExplanationStep {
  /** Time since the request arrived. */
  readonly elapsedMs: number;
  /** The stage that was decided about; empty for the request as a whole. */
  readonly stageId: string;
  /** The upstream that was chosen; empty when none was. */
  readonly upstreamId: string;
  /** What was decided and why. */
  readonly decision: string;
}

/** Why a request ran where it ran, or why it did not run. */
export interface RequestExplanation {
  readonly requestId: string;
  readonly accountId: string;
  readonly pipelineId: string;
  /** `running`, `completed`, or the code of the refusal. */
  readonly outcome: string;
  readonly steps: readonly ExplanationStep[];
}
