/** Source of random values for the core: the system's generator, or a seeded one in tests. */
export interface RandomSource {
  /**
   * @returns a uniformly distributed number in [0, 1)
   */
  getFraction(): number;
  /**
   * @returns 32 random hexadecimal digits (128 bits)
   */
  getHexId(): string;
}
