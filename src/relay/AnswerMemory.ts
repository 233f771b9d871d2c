import { MAX_ANSWER_BYTES } from '../upstreams/MAX_ANSWER_BYTES.ts';

/** Memory that unfinished answers of one host may take together. */
const MAX_TOTAL_BYTES = 32 * 1024 * 1024;
/** An answer of this size is kept however much the others take. */
const SMALL_ANSWER_BYTES = 256 * 1024;

/** The memory of the answers that a host holds until they are whole. */
export class AnswerMemory {
  #totalBytes = 0;

  /** What all of them take now. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /**
   * @param bufferedBytes - what an answer takes already
   * @param moreBytes - what has come of it
   * @returns whether that is kept as well; otherwise the answer is to be broken off
   */
  tryReserve(bufferedBytes: number, moreBytes: number): boolean {
    const sizeBytes = bufferedBytes + moreBytes;
    const isRoom = this.#totalBytes + moreBytes <= MAX_TOTAL_BYTES;
    if (sizeBytes > MAX_ANSWER_BYTES || (!isRoom && sizeBytes > SMALL_ANSWER_BYTES)) {
      return false;
    }
    this.#totalBytes += moreBytes;
    return true;
  }

  /** @param bytes - what an answer took that is over */
  release(bytes: number): void {
    this.#totalBytes -= bytes;
  }
}
