/** Thrown when a peer sent bytes that violate the protocol; the connection is closed. */
export class MalformedFrameError extends Error {
  /**
   * @param reason - what is wrong, for the log
   */
  constructor(reason: string) {
    super(`Malformed peer frame: ${reason}`);
    this.name = 'MalformedFrameError';
  }
}
