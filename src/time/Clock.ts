/** Where a component gets the time. Deadlines and timeouts use the monotonic reading only. */
export interface Clock {
  /**
   * @returns milliseconds since an arbitrary start; never goes back
   */
  getMonotonicMs(): number;
  /**
   * @returns milliseconds since the Unix epoch, for records that leave the process
   */
  getWallMs(): number;
}
