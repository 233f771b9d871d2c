import { createHash } from 'node:crypto';
import { StringDecoder } from 'node:string_decoder';
import type { AnswerReader, ReadOutcome, ReadUnusable } from './AnswerReader.ts';
import { CHUNK_OVERHEAD_BYTES, MAX_ANSWER_BYTES } from './MAX_ANSWER_BYTES.ts';
import { getCostMicros, parseJsonObject } from './parseJsonObject.ts';

const EVENT_END = '\n\n';
const DATA_PREFIX = 'data: ';

/** Receives the new text of a stream, in order and without repetition. */
export type ChunkListener = (upstreamIncarnation: string, offset: number, text: string) => void;

/** Reads the answer of a model engine: server-sent events with offsets and an end mark. */
export class EventStreamReader implements AnswerReader {
  readonly #attemptId: string;

  readonly #onChunk: ChunkListener;

  readonly #decoder = new StringDecoder('utf8');

  #pending = '';

  #text = '';

  #incarnation: string | null = null;

  #sizeBytes = 0;

  #droppedEventCount = 0;

  /**
   * @param attemptId - the attempt whose answer is expected
   * @param onChunk - receives each part of the text once
   */
  constructor(attemptId: string, onChunk: ChunkListener) {
    this.#attemptId = attemptId;
    this.#onChunk = onChunk;
  }

  /** Number of events dropped because they were repeated or belonged to another attempt. */
  get droppedEventCount(): number {
    return this.#droppedEventCount;
  }

  /** @inheritdoc */
  addChunk(chunk: Buffer): ReadOutcome | null {
    this.#sizeBytes += chunk.length + CHUNK_OVERHEAD_BYTES;
    if (this.#sizeBytes > MAX_ANSWER_BYTES) {
      return this.#getUnusable('The stream is too large.');
    }
    this.#pending += this.#decoder.write(chunk);
    let start = 0;
    let end = this.#pending.indexOf(EVENT_END);
    while (end >= 0) {
      const outcome = this.#readEvent(this.#pending.slice(start, end));
      if (outcome !== null) {
        return outcome;
      }
      start = end + EVENT_END.length;
      end = this.#pending.indexOf(EVENT_END, start);
    }
    this.#pending = this.#pending.slice(start);
    return null;
  }

  /** @inheritdoc */
  end(): ReadOutcome {
    return this.#getUnusable('The stream ended without its end mark.');
  }

  #readEvent(event: string): ReadOutcome | null {
    if (!event.startsWith(DATA_PREFIX)) {
      return null;
    }
    const fields = parseJsonObject(event.slice(DATA_PREFIX.length));
    if (fields === null) {
      return this.#getUnusable('An event of the stream is not JSON.');
    }
    const { attemptId, incarnation } = fields;
    this.#incarnation ??= typeof incarnation === 'string' ? incarnation : null;
    if (attemptId !== this.#attemptId || incarnation !== this.#incarnation) {
      this.#droppedEventCount += 1;
      return null;
    }
    return fields.isEnd === true ? this.#readEnd(fields) : this.#readText(fields);
  }

  #readText(fields: Readonly<Record<string, unknown>>): ReadUnusable | null {
    const { offset, text } = fields;
    if (typeof offset !== 'number' || typeof text !== 'string' || this.#incarnation === null) {
      return this.#getUnusable('An event lacks its offset, text or incarnation.');
    }
    const knownLength = this.#text.length;
    if (offset > knownLength) {
      return this.#getUnusable(`The stream has a gap from ${knownLength} to ${offset}.`);
    }
    const newText = text.slice(knownLength - offset);
    if (newText === '') {
      this.#droppedEventCount += 1;
      return null;
    }
    this.#text += newText;
    this.#onChunk(this.#incarnation, knownLength, newText);
    return null;
  }

  #readEnd(fields: Readonly<Record<string, unknown>>): ReadOutcome {
    const costMicros = getCostMicros(fields);
    if (fields.isCancelled === true) {
      return { kind: 'cancelled', costMicros };
    }
    const digest = createHash('sha256').update(this.#text).digest('hex');
    if (fields.lengthUnits !== this.#text.length || fields.digest !== digest) {
      return { kind: 'unusable', costMicros, detail: 'The length or digest does not match.' };
    }
    return {
      kind: 'result',
      upstreamIncarnation: this.#incarnation ?? '',
      output: this.#text,
      costMicros,
    };
  }

  #getUnusable(detail: string): ReadUnusable {
    return { kind: 'unusable', costMicros: 0, detail: `${detail} (${this.#text.length} units)` };
  }
}
