/** A message that waits for its connection. */
interface BufferedItem {
  readonly priority: number;
  readonly bytes: Buffer;
}

/** A buffer of bounded size which drops what matters least when it is full. */
export class PriorityBuffer {
  readonly #limitBytes: number;

  /** Sorted by priority, then by arrival. */
  #items: BufferedItem[] = [];

  #sizeBytes = 0;

  #droppedCount = 0;

  /**
   * @param limitBytes - the most that waits
   */
  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Bytes that wait. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** Messages dropped so far. */
  get droppedCount(): number {
    return this.#droppedCount;
  }

  /**
   * @param bytes - an encoded frame
   * @param priority - lower goes first and is dropped last
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
   * @returns the next frame to send, or undefined when none waits
   */
  shift(): Buffer | undefined {
    const item = this.#items.shift();
    this.#sizeBytes -= item?.bytes.length ?? 0;
    return item?.bytes;
  }
}
