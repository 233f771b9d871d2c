/** What the membership is told of its process. */
export interface MembershipStart {
  /**
   * Unix time of the process start in milliseconds; orders the starts of one host. A clock that
   * is set back is caught up with when the host hears what is said about its earlier start.
   */
  readonly startedAtMs: number;
}
