import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomSource } from './RandomSource.ts';

const UINT32_RANGE = 0x1_0000_0000;
const HEX_WORD_LENGTH = 8;
const HEX_ID_WORDS = 4;

/** A reproducible random source for tests and benchmarks. */
export class SeededRandomSource implements RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  /**
   * @param seed - seed of the generator; equal seeds produce equal sequences
   */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** @inheritdoc */
  getFraction(): number {
    return this.#getWord() / UINT32_RANGE;
  }

  /** @inheritdoc */
  getHexId(): string {
    const words = Array.from(
      { length: HEX_ID_WORDS },
      () => this.#getWord().toString(16).padStart(HEX_WORD_LENGTH, '0'),
    );
    return words.join('');
  }

  #getWord(): number {
    // eslint-disable-next-line no-bitwise -- the generator returns signed 32-bit words
    return this.#generator.next() >>> 0;
  }
}
