import type { AnswerMemory } from './AnswerMemory.ts';
import { AnswerTooLargeError } from '../upstreams/AnswerTooLargeError.ts';
import { CHUNK_OVERHEAD_BYTES } from '../upstreams/MAX_ANSWER_BYTES.ts';

/** One complete event of a stream. */
export interface StreamEvent {
  /** Bytes of the event, including the empty line that ends it. */
  readonly bytes: Buffer;
  /** Id of the event; null when it has none. */
  readonly id: number | null;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(\d+)\r?$/m;
/** Maximum size of one event; an event contains a few tokens of an answer. */
const MAX_EVENT_BYTES = 1024 * 1024;
/** Longest end of an event: a line feed, a carriage return and a line feed. */
const END_BYTES = 3;

/** Returns the offset after the first empty line; 0 when there is none. */
function findEventEnd(bytes: Buffer, from: number): number {
  let feed = bytes.indexOf(LINE_FEED, from);
  while (feed >= 0) {
    const next = bytes[feed + 1] === CARRIAGE_RETURN ? feed + 2 : feed + 1;
    if (bytes[next] === LINE_FEED) {
      return next + 1;
    }
    feed = bytes.indexOf(LINE_FEED, feed + 1);
  }
  return 0;
}

function toEvent(bytes: Buffer): StreamEvent {
  const id = ID_LINE.exec(bytes.toString('latin1'))?.[1];
  return { bytes, id: id === undefined ? null : Number(id) };
}

/** Splits a stream of server-sent events into complete events and buffers the rest. */
export class EventSplitter {
  readonly #memory: AnswerMemory;

  /** Chunks of an incomplete event; joined when its end arrives. */
  #chunks: Buffer[] = [];

  #partBytes = 0;

  /** Last bytes of the chunks, where the end of an event may have started. */
  #tail: Buffer = Buffer.alloc(0);

  /**
   * @param memory - limits the memory of all answers and events that the host buffers
   */
  constructor(memory: AnswerMemory) {
    this.#memory = memory;
  }

  /** Whether an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.#partBytes > 0;
  }

  /**
   * @param chunk - the next bytes of the stream
   * @returns the events that the chunk completes
   * @throws AnswerTooLargeError when an event exceeds its maximum size, or the host has no memory
   *   left for it
   */
  add(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    const searched = Buffer.concat([this.#tail, chunk]);
    const tailBytes = this.#tail.length;
    let start = tailBytes;
    let end = findEventEnd(searched, 0);
    while (end > 0) {
      events.push(toEvent(Buffer.concat([...this.#chunks, searched.subarray(start, end)])));
      this.release();
      start = end;
      end = findEventEnd(searched, start);
    }
    this.#bufferRest(searched.subarray(start));
    return events;
  }

  #bufferRest(rest: Buffer): void {
    if (rest.length === 0) {
      return;
    }
    const moreBytes = rest.length + CHUNK_OVERHEAD_BYTES;
    if (this.#partBytes + moreBytes > MAX_EVENT_BYTES) {
      throw new AnswerTooLargeError('an event', `${MAX_EVENT_BYTES} bytes`);
    }
    if (!this.#memory.tryReserve(this.#partBytes, moreBytes)) {
      throw new AnswerTooLargeError('an event', 'the memory that the host has left');
    }
    this.#partBytes += moreBytes;
    this.#chunks.push(rest);
    this.#tail = Buffer.concat([this.#tail, rest]).subarray(-END_BYTES);
  }

  /** Drops the incomplete event and releases its memory. */
  release(): void {
    this.#memory.release(this.#partBytes);
    this.#chunks = [];
    this.#partBytes = 0;
    this.#tail = Buffer.alloc(0);
  }
}
