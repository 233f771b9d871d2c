import { randomFillSync } from 'node:crypto';
import type { RandomSource } from './RandomSource.ts';

const UINT32_RANGE = 2 ** 32;
const WORD_BYTES = 4;
const ID_BYTES = 16;
const BUFFER_BYTES = 4_096;

/** The operating system's generator; its ids are unguessable. */
export class SystemRandomSource implements RandomSource {
  /** Bytes are fetched in advance: a call of the generator for each id costs more than the id. */
  readonly #buffer = Buffer.allocUnsafe(BUFFER_BYTES);

  #offset = BUFFER_BYTES;

  /** @inheritdoc */
  getFraction(): number {
    return this.#buffer.readUInt32LE(this.#consume(WORD_BYTES)) / UINT32_RANGE;
  }

  /** @inheritdoc */
  getHexId(): string {
    const start = this.#consume(ID_BYTES);
    return this.#buffer.toString('hex', start, start + ID_BYTES);
  }

  /** Gives out each byte of the pool once. */
  #consume(byteCount: number): number {
    if (this.#offset + byteCount > BUFFER_BYTES) {
      randomFillSync(this.#buffer);
      this.#offset = 0;
    }
    const start = this.#offset;
    this.#offset += byteCount;
    return start;
  }
}
