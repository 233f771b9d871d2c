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

/** Offset behind the first empty line; 0 when there is none. */
function findEventEnd(bytes: Buffer): number {
  let feed = bytes.indexOf(LINE_FEED);
  while (feed >= 0) {
    const next = bytes[feed + 1] === CARRIAGE_RETURN ? feed + 2 : feed + 1;
    if (bytes[next] === LINE_FEED) {
      return next + 1;
    }
    feed = bytes.indexOf(LINE_FEED, feed + 1);
  }
  return 0;
}

/** Cuts a stream of server-sent events into whole events; the rest waits for its end. */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0);

  /** Whether part of an event is waiting for the rest. */
  get hasPart(): boolean {
    return this.#pending.length > 0;
  }

  /**
   * @param chunk - the next bytes
   * @returns the events that are now whole
   */
  add(chunk: Buffer): StreamEvent[] {
    this.#pending = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
    const events: StreamEvent[] = [];
    let end = findEventEnd(this.#pending);
    while (end > 0) {
      const bytes = this.#pending.subarray(0, end);
      const id = ID_LINE.exec(bytes.toString('latin1'))?.[1];
      events.push({ bytes, id: id === undefined ? null : Number(id) });
      this.#pending = this.#pending.subarray(end);
      end = findEventEnd(this.#pending);
    }
    return events;
  }
}
