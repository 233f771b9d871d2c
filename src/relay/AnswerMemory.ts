import { MAX_ANSWER_BYTES } from '../upstreams/MAX_ANSWER_BYTES.ts';

/** Limit on the memory of all incomplete answers of one host. */
const MAX_TOTAL_BYTES = 32 * 1024 * 1024;
/** An answer up to this size is accepted even when the limit is reached. */
const SMALL_ANSWER_BYTES = 256 * 1024;

/** Limits the memory of the answers that a host buffers until they are complete. */
export class AnswerMemory {
  #totalBytes = 0;

  /** Memory that all buffered answers use now. */
  get totalBytes(): number {
    return this.#totalBytes;
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
    const hasRoom = this.#totalBytes + moreBytes <= MAX_TOTAL_BYTES;
    if (sizeBytes > MAX_ANSWER_BYTES || (!hasRoom && sizeBytes > SMALL_ANSWER_BYTES)) {
      return false;
    }
    this.#totalBytes += moreBytes;
    return true;
  }

  /** @param bytes - memory of an answer that is no longer buffered */
  release(bytes: number): void {
    this.#totalBytes -= bytes;
  }
}
