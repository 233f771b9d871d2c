import { CHUNK_OVERHEAD_BYTES } from '../upstreams/MAX_ANSWER_BYTES.ts';
import type { AnswerMemory } from './AnswerMemory.ts';

/** Buffers an answer until it is complete. */
export class BufferedAnswer {
  readonly #memory: AnswerMemory;

  #chunks: Buffer[] = [];

  #sizeBytes = 0;

  /**
   * @param memory - limits the memory of all buffered answers of the host
   */
  constructor(memory: AnswerMemory) {
    this.#memory = memory;
  }

  /**
   * @param chunk - the next bytes of the answer
   * @returns whether they are buffered; otherwise the answer is too large
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

  /** @returns the buffered bytes, which are then released */
  take(): Buffer {
    const bytes = Buffer.concat(this.#chunks);
    this.release();
    return bytes;
  }

  /** Releases the buffered bytes. */
  release(): void {
    this.#memory.release(this.#sizeBytes);
    this.#chunks = [];
    this.#sizeBytes = 0;
  }
}
