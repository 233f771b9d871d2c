/** Source of the time. Deadlines and timeouts use the monotonic time only. */
export interface Clock {
  /**
   * @returns milliseconds since an arbitrary start; never decreases
   */
  getMonotonicMs(): number;
  /**
   * @returns milliseconds since the Unix epoch, for values that leave the process
   */
  getWallMs(): number;
}
