/** Size by which large memory grows. */
const STEP_BYTES = 65_536;
/** Up to this size the bytes stay in a plain buffer, which is cheaper to create. */
const SMALL_BYTES = 16_384;
const EMPTY = Buffer.alloc(0);

/**
 * Gathers bytes in one piece of memory. A single chunk is kept as it came. Several are copied into
 * memory that grows in place, however small they are, and that goes back to the operating system
 * at its release, without waiting for a garbage collection.
 */
export class GrowingBuffer {
  readonly #maxBytes: number;

  /** The only chunk, or a plain buffer with several small ones. */
  #small: Buffer | null = null;

  #memory: ArrayBuffer | null = null;

  /** View of the memory that grows with it. */
  #view = new Uint8Array(0);

  #sizeBytes = 0;

  /** @param maxBytes - largest number of bytes that will be added */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Number of bytes that were added. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** @param chunk - the next bytes */
  add(chunk: Buffer): void {
    const offset = this.#sizeBytes;
    this.#sizeBytes += chunk.length;
    if (offset === 0) {
      this.#small = chunk;
    } else if (this.#memory === null && this.#sizeBytes <= SMALL_BYTES) {
      this.#addSmall(chunk, offset);
    } else {
      this.#addLarge(chunk, offset);
    }
  }

  /** @returns the bytes, which are valid until the release */
  getBytes(): Buffer {
    if (this.#memory === null) {
      return this.#small?.subarray(0, this.#sizeBytes) ?? EMPTY;
    }
    return Buffer.from(this.#memory, 0, this.#sizeBytes);
  }

  /** Gives up the bytes; nobody may use them afterwards. */
  release(): void {
    this.#small = null;
    this.#memory?.resize(0);
    this.#memory = null;
    this.#sizeBytes = 0;
  }

  #addSmall(chunk: Buffer, offset: number): void {
    if (this.#small === null || this.#small.length < this.#sizeBytes) {
      const larger = Buffer.allocUnsafeSlow(SMALL_BYTES);
      this.#small?.copy(larger);
      this.#small = larger;
    }
    chunk.copy(this.#small, offset);
  }

  #addLarge(chunk: Buffer, offset: number): void {
    if (this.#memory === null) {
      // Memory that grows reserves its whole range of addresses, but only what it uses is resident.
      this.#memory = new ArrayBuffer(0, { maxByteLength: this.#maxBytes });
      this.#view = new Uint8Array(this.#memory);
    }
    if (this.#sizeBytes > this.#memory.byteLength) {
      const steps = Math.ceil(this.#sizeBytes / STEP_BYTES);
      this.#memory.resize(Math.min(this.#maxBytes, steps * STEP_BYTES));
    }
    if (this.#small !== null) {
      this.#view.set(this.#small.subarray(0, offset));
      this.#small = null;
    }
    this.#view.set(chunk, offset);
  }
}
