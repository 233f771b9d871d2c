import { BUFFER_PART } from '../memory/BUFFER_PART.ts';
import type { BufferMemory } from '../memory/BufferMemory.ts';
import { MAX_ANSWER_BYTES } from '../upstreams/MAX_ANSWER_BYTES.ts';

/** An answer up to this size is accepted even when there is no room. */
const SMALL_ANSWER_BYTES = 32 * 1024;

/** Limits the memory of the answers that a host buffers until they are complete. */
export class AnswerMemory {
  readonly #memory: BufferMemory;

  /** @param memory - the memory that all buffers of the host draw on */
  constructor(memory: BufferMemory) {
    this.#memory = memory;
  }

  /**
   * Reserves memory for another chunk of an answer.
   *
   * @param bufferedBytes - size of what is buffered of the answer
   * @param moreBytes - size of the new chunk
   * @returns whether the memory is reserved; otherwise the attempt must be aborted
   */
  tryReserve(bufferedBytes: number, moreBytes: number): boolean {
    const sizeBytes = bufferedBytes + moreBytes;
    if (sizeBytes > MAX_ANSWER_BYTES) {
      return false;
    }
    if (sizeBytes <= SMALL_ANSWER_BYTES) {
      this.#memory.reserve(BUFFER_PART.answers, moreBytes);
      return true;
    }
    return this.#memory.tryReserve(BUFFER_PART.answers, moreBytes);
  }

  /** @param bytes - memory of an answer that is no longer buffered */
  release(bytes: number): void {
    this.#memory.release(BUFFER_PART.answers, bytes);
  }
}
