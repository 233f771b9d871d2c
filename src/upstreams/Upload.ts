import { Buffer } from 'node:buffer';
import type { Readable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';

/** Size of the parts in which a body is written; up to this size it is written at once. */
const PART_BYTES = 65_536;
/** Time in which an upstream that does not want to read a body answers the head of its request. */
const EARLY_ANSWER_MS = 20;

/**
 * The body of one request to an upstream. The last part of a large one is held back for a moment,
 * so that an answer which arrives before the upstream can have the request is known as such: the
 * system takes megabytes that the upstream has not read. Each part is a copy, since the memory of
 * the body may be given back while a part waits.
 */
export class Upload {
  readonly #bytes: Buffer;

  #isWritten: boolean;

  /**
   * @param bytes - the body
   */
  constructor(bytes: Buffer) {
    this.#bytes = bytes;
    this.#isWritten = bytes.length <= PART_BYTES;
  }

  /** Whether the last part has been written. */
  get isWritten(): boolean {
    return this.#isWritten;
  }

  /** The body as undici takes it; null when there is none. */
  get body(): Buffer | Readable | null {
    if (this.#bytes.length === 0) {
      return null;
    }
    if (this.#bytes.length <= PART_BYTES) {
      return this.#bytes;
    }
    // undici takes iterables, but its types leave them out.
    return this.#writeParts() as unknown as Readable;
  }

  /** The header of the length, which undici does not find out for a body in parts. */
  get headers(): string[] {
    return this.#bytes.length <= PART_BYTES
      ? []
      : ['content-length', String(this.#bytes.length)];
  }

  async* #writeParts(): AsyncGenerator<Buffer> {
    const lastOffset = this.#bytes.length - PART_BYTES;
    for (let offset = 0; offset < lastOffset; offset += PART_BYTES) {
      yield Buffer.from(this.#bytes.subarray(offset, Math.min(offset + PART_BYTES, lastOffset)));
    }
    await sleep(EARLY_ANSWER_MS);
    this.#isWritten = true;
    yield Buffer.from(this.#bytes.subarray(lastOffset));
  }
}
