import { AnswerTooLargeError } from '../upstreams/AnswerTooLargeError.ts';
import { CHUNK_OVERHEAD_BYTES } from '../upstreams/MAX_ANSWER_BYTES.ts';

/** One whole event of a stream. */
export interface StreamEvent {
  /** Its bytes, with the empty line that ends it. */
  readonly bytes: Buffer;
  /** Null when it has no id. */
  readonly id: number | null;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(\d+)\r?$/m;
/** Most that one event may hold; an event is a few tokens of an answer. */
const MAX_EVENT_BYTES = 1024 * 1024;
/** An event may end in a line feed, a carriage return and a line feed. */
const END_BYTES = 3;

/** Offset behind the first empty line; 0 when there is none. */
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

/** Cuts a stream of server-sent events into whole events; the rest waits for its end. */
export class EventSplitter {
  /** Parts of an event that has no end yet; joined when it has. */
  #chunks: Buffer[] = [];

  #partBytes = 0;

  /** The last bytes of the parts, where an end may have begun. */
  #tail: Buffer = Buffer.alloc(0);

  /** Whether part of an event is waiting for the rest. */
  get hasPartialEvent(): boolean {
    return this.#partBytes > 0;
  }

  /**
   * @param chunk - the next bytes
   * @returns the events that are now whole
   * @throws AnswerTooLargeError when an event has no end within its bound
   */
  add(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    const searched = Buffer.concat([this.#tail, chunk]);
    const tailBytes = this.#tail.length;
    let start = tailBytes;
    let end = findEventEnd(searched, 0);
    while (end > 0) {
      events.push(toEvent(Buffer.concat([...this.#chunks, searched.subarray(start, end)])));
      this.#clear();
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
    this.#partBytes += rest.length + CHUNK_OVERHEAD_BYTES;
    if (this.#partBytes > MAX_EVENT_BYTES) {
      throw new AnswerTooLargeError('an event', `${MAX_EVENT_BYTES} bytes`);
    }
    this.#chunks.push(rest);
    this.#tail = Buffer.concat([this.#tail, rest]).subarray(-END_BYTES);
  }

  #clear(): void {
    this.#chunks = [];
    this.#partBytes = 0;
    this.#tail = Buffer.alloc(0);
  }
}
