/** An answer goes on beyond its bound, and may never end. */
export class AnswerTooLargeError extends Error {
  /**
   * @param what - what has no end
   * @param limit - how much of it is read, with its unit
   */
  constructor(what: string, limit: string) {
    super(`${what} goes on beyond ${limit}`);
    this.name = 'AnswerTooLargeError';
  }
}
