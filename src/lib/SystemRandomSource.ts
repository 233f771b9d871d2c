import { randomFillSync } from 'node:crypto';
import type { RandomSource } from './RandomSource.ts';

const UINT32_RANGE = 2 ** 32;
const WORD_BYTES = 4;
const ID_BYTES = 16;
const POOL_BYTES = 4_096;

/** The operating system's generator; its ids are unguessable. */
export class SystemRandomSource implements RandomSource {
  /** Bytes are fetched in advance: a call of the generator for each id costs more than the id. */
  readonly #pool = Buffer.allocUnsafe(POOL_BYTES);

  #used = POOL_BYTES;

  /** @inheritdoc */
  getFraction(): number {
    return this.#pool.readUInt32LE(this.#take(WORD_BYTES)) / UINT32_RANGE;
  }

  /** @inheritdoc */
  getHexId(): string {
    const start = this.#take(ID_BYTES);
    return this.#pool.toString('hex', start, start + ID_BYTES);
  }

  /** Gives out each byte of the pool once. */
  #take(byteCount: number): number {
    if (this.#used + byteCount > POOL_BYTES) {
      randomFillSync(this.#pool);
      this.#used = 0;
    }
    const start = this.#used;
    this.#used += byteCount;
    return start;
  }
}
