/** Process start that the membership announces. */
export interface MembershipStart {
  /**
   * Unix time of the process start in milliseconds; orders the starts of one host. After its clock
   * was set back, a host raises its generation when it receives the record of its earlier start.
   */
  readonly startedAtMs: number;
}
