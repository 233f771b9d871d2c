/** Where the core gets its randomness: the system's generator, or a seeded one in tests. */
export interface RandomSource {
  /**
   * @returns a number in [0, 1)
   */
  getFraction(): number;
  /**
   * @returns 32 hexadecimal digits (128 bits)
   */
  getHexId(): string;
}
