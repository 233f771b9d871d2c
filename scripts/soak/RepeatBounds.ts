/** Bounds on the repeated sends that a service may get from all hosts together. */
export interface RepeatBounds {
  /** Allowed repeats as a fraction of the requests for the service. */
  readonly ratio: number;
  /** Repeats allowed in addition within a window, at any load. */
  readonly slack: number;
  readonly windowMs: number;
}
