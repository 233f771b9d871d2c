import { CHUNK_OVERHEAD_BYTES } from '../upstreams/MAX_ANSWER_BYTES.ts';
import type { AnswerMemory } from './AnswerMemory.ts';

/** An answer that is held until it is whole. */
export class BufferedAnswer {
  readonly #memory: AnswerMemory;

  #chunks: Buffer[] = [];

  #sizeBytes = 0;

  /**
   * @param memory - bounds all answers of the host
   */
  constructor(memory: AnswerMemory) {
    this.#memory = memory;
  }

  /**
   * @param chunk - the next bytes
   * @returns whether they are kept; otherwise the answer is too large
   */
  add(chunk: Buffer): boolean {
    const moreBytes = chunk.length + CHUNK_OVERHEAD_BYTES;
    if (!this.#memory.tryReserve(this.#sizeBytes, moreBytes)) {
      return false;
    }
    this.#sizeBytes += moreBytes;
    this.#chunks.push(chunk);
    return true;
  }

  /** @returns the bytes, which are held no more */
  take(): Buffer {
    const bytes = Buffer.concat(this.#chunks);
    this.release();
    return bytes;
  }

  /** Lets go of the bytes. */
  release(): void {
    this.#memory.release(this.#sizeBytes);
    this.#chunks = [];
    this.#sizeBytes = 0;
  }
}
