/** One decision about a request, for operators. */
export interface ExplanationLine {
  /** Time since the request arrived. */
  readonly afterMs: number;
  /** What was decided, such as `admitted` or `sent`. */
  readonly decision: string;
  /** What it was decided on. */
  readonly detail: string;
}
