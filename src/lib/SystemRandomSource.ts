import { randomFillSync } from 'node:crypto';
import type { RandomSource } from './RandomSource.ts';

const UINT32_RANGE = 2 ** 32;
const WORD_BYTES = 4;
const ID_BYTES = 16;
const BUFFER_BYTES = 4_096;

/** Random source of the operating system; its ids are unguessable. */
export class SystemRandomSource implements RandomSource {
  /** Prefetched random bytes: a generator call for each id would cost more than the id itself. */
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

  /** Reserves the next bytes of the buffer, each byte once, and returns their offset. */
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
