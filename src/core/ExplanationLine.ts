/** One decision about a request, shown to operators. */
export interface ExplanationLine {
  /** Time between the request's arrival and the decision. */
  readonly afterMs: number;
  /** Kind of the decision, such as `admitted` or `sent`. */
  readonly decision: string;
  /** Facts that the decision is based on. */
  readonly detail: string;
}
