/** An answer that belongs to another call than the one that is open on its connection. */
export class ForeignAnswerError extends Error {
  /**
   * @param callId - id of the open call
   * @param answerId - id that the answer names
   */
  constructor(callId: string, answerId: string) {
    super(`the answer to call ${callId} belongs to call ${answerId}`);
    this.name = 'ForeignAnswerError';
  }
}
