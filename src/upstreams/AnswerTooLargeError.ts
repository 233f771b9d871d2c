/** Error of an answer that exceeds its size limit and may never end. */
export class AnswerTooLargeError extends Error {
  /**
   * @param part - the part of the answer that exceeds the limit
   * @param limit - the limit, with its unit
   */
  constructor(part: string, limit: string) {
    super(`${part} exceeds ${limit}`);
    this.name = 'AnswerTooLargeError';
  }
}
