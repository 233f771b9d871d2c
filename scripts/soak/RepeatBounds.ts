/** How many sends beyond the first of a request a service may get, from all hosts together. */
export interface RepeatBounds {
  /** As a fraction of the requests for the service. */
  readonly ratio: number;
  /** Within a window, at any load. */
  readonly slack: number;
  readonly windowMs: number;
}
