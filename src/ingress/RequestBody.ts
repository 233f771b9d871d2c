import { BUFFER_PART, type BufferPart } from '../memory/BUFFER_PART.ts';
import type { BufferHolder, BufferMemory } from '../memory/BufferMemory.ts';
import { GrowingBuffer } from '../memory/GrowingBuffer.ts';
import { ProgressPace } from '../memory/ProgressPace.ts';
import type { Clock } from '../time/Clock.ts';

/** Up to this size a body counts towards the small ones. */
const SMALL_BODY_BYTES = 16_384;
/** Step in which a larger body reserves memory. */
const RESERVATION_BYTES = 65_536;

/** What adding a chunk to a body has led to. */
export type BodyAddition = 'added' | 'tooLarge' | 'noRoom';

/** Options of a {@link RequestBody}. */
export interface RequestBodyOptions {
  readonly memory: BufferMemory;
  readonly clock: Clock;
  /** Largest size of the body. */
  readonly maxBytes: number;
  /** Called when the incomplete body has to make room for others. */
  readonly onDrop: () => void;
}

/** The body of a request while it arrives and until its request has ended. */
export class RequestBody implements BufferHolder {
  readonly #options: RequestBodyOptions;

  readonly #bytes: GrowingBuffer;

  #part: BufferPart = BUFFER_PART.smallBodies;

  #reservedBytes = 0;

  /** Created with the first chunk. */
  #pace: ProgressPace | null = null;

  /** @param options - see {@link RequestBodyOptions} */
  constructor(options: RequestBodyOptions) {
    this.#options = options;
    this.#bytes = new GrowingBuffer(options.maxBytes);
  }

  /** @inheritdoc */
  get progressBytes(): number {
    return this.#bytes.sizeBytes;
  }

  /**
   * @param chunk - the next bytes
   * @returns whether they were added; otherwise the body is released
   */
  add(chunk: Buffer): BodyAddition {
    const sizeBytes = this.#bytes.sizeBytes + chunk.length;
    if (sizeBytes > this.#options.maxBytes) {
      this.release();
      return 'tooLarge';
    }
    if (!this.#tryReserve(sizeBytes)) {
      this.release();
      return 'noRoom';
    }
    this.#bytes.add(chunk);
    this.#pace?.record(sizeBytes);
    return 'added';
  }

  /** @returns the whole body, which is valid until the release and can't be dropped any more */
  complete(): Buffer {
    this.#options.memory.removeHolder(this.#part, this);
    return this.#bytes.getBytes();
  }

  /** @inheritdoc */
  isSlow(): boolean {
    return this.#pace?.isSlow() === true;
  }

  /** @inheritdoc */
  drop(): void {
    this.release();
    this.#options.onDrop();
  }

  /** Gives up the memory; may be called more than once. */
  release(): void {
    this.#options.memory.removeHolder(this.#part, this);
    this.#options.memory.release(this.#part, this.#reservedBytes);
    this.#reservedBytes = 0;
    this.#bytes.release();
  }

  /** Reserves in steps, so that many small chunks rarely ask for memory. */
  #tryReserve(sizeBytes: number): boolean {
    const { memory, clock, maxBytes } = this.#options;
    if (sizeBytes <= this.#reservedBytes) {
      return true;
    }
    if (this.#pace === null) {
      this.#pace = new ProgressPace(clock);
      memory.addHolder(this.#part, this);
    }
    if (sizeBytes > SMALL_BODY_BYTES && this.#part === BUFFER_PART.smallBodies) {
      memory.removeHolder(this.#part, this);
      memory.release(this.#part, this.#reservedBytes);
      this.#reservedBytes = 0;
      this.#part = BUFFER_PART.bodies;
      memory.addHolder(this.#part, this);
    }
    const wantedBytes = this.#part === BUFFER_PART.smallBodies
      ? Math.max(sizeBytes, Math.min(SMALL_BODY_BYTES, this.#reservedBytes * 2))
      : Math.min(maxBytes, Math.ceil(sizeBytes / RESERVATION_BYTES) * RESERVATION_BYTES);
    const isReserved = memory.tryReserve(this.#part, wantedBytes - this.#reservedBytes, this);
    this.#reservedBytes = isReserved ? wantedBytes : this.#reservedBytes;
    return isReserved;
  }
}
