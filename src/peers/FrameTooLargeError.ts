/** Thrown when a message does not fit into a frame; the message is not sent. */
export class FrameTooLargeError extends Error {
  /**
   * @param sizeBytes - size of the encoded message
   * @param limitBytes - the largest allowed size
   */
  constructor(sizeBytes: number, limitBytes: number) {
    super(`Peer frame of ${sizeBytes} bytes exceeds the limit of ${limitBytes} bytes`);
    this.name = 'FrameTooLargeError';
  }
}
