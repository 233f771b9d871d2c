/** A peer sent bytes that are no frame of the protocol; the connection is closed. */
export class MalformedFrameError extends Error {
  /**
   * @param reason - what is wrong, for the log
   */
  constructor(reason: string) {
    super(`Malformed peer frame: ${reason}`);
    this.name = 'MalformedFrameError';
  }
}
