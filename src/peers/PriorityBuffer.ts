/** Frame that waits to be sent. */
interface BufferedItem {
  readonly priority: number;
  readonly bytes: Buffer;
}

/** Bounded send buffer that drops the frames of lowest priority when it is full. */
export class PriorityBuffer {
  readonly #limitBytes: number;

  /** Sorted by priority, then by arrival. */
  #items: BufferedItem[] = [];

  #sizeBytes = 0;

  #droppedCount = 0;

  /**
   * @param limitBytes - most bytes in the buffer
   */
  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Bytes in the buffer. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Frames dropped so far. */
  get droppedCount(): number {
    return this.#droppedCount;
  }

  /**
   * Adds a frame and drops frames while the buffer exceeds its limit.
   *
   * @param bytes - an encoded frame
   * @param priority - priority; lower numbers are sent first and dropped last
   */
  push(bytes: Buffer, priority: number): void {
    const position = this.#items.findLastIndex((item) => item.priority <= priority) + 1;
    this.#items.splice(position, 0, { priority, bytes });
    this.#sizeBytes += bytes.length;
    while (this.#sizeBytes > this.#limitBytes) {
      this.#sizeBytes -= this.#items.pop()?.bytes.length ?? 0;
      this.#droppedCount += 1;
    }
  }

  /**
   * Removes the next frame to send.
   *
   * @returns the frame, or undefined when the buffer is empty
   */
  shift(): Buffer | undefined {
    const item = this.#items.shift();
    this.#sizeBytes -= item?.bytes.length ?? 0;
    return item?.bytes;
  }
}
