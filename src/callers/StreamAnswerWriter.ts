import type { FastifyReply } from 'fastify';
import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import type { RequestId } from '../lib/ids.ts';
import type { AnswerListener } from './CallerPort.ts';
import { createProblem } from './createProblem.ts';

const STREAM_HEADERS = {
  'content-type': 'text/event-stream',
  'cache-control': 'no-store',
};

/**
 * Writes an answer as server-sent events: `chunk` with offset and text, then `answer` with length
 * and digest, or `problem`. The event id is the offset that follows, for Last-Event-ID.
 */
export class StreamAnswerWriter implements AnswerListener {
  readonly #reply: FastifyReply;

  #requestId: RequestId | null = null;

  /** Text that came before the request had an id. */
  #nextOffset: number;

  readonly #pendingWrites: (() => void)[] = [];

  /**
   * @param reply - where the events go
   * @param fromOffset - the first character that the caller still needs
   */
  constructor(reply: FastifyReply, fromOffset: number) {
    this.#reply = reply;
    this.#nextOffset = fromOffset;
  }

  /**
   * Opens the stream, once the request's id is known.
   *
   * @param requestId - the request
   */
  start(requestId: RequestId): void {
    this.#requestId = requestId;
    this.#reply.hijack();
    this.#reply.raw.writeHead(200, { ...STREAM_HEADERS, 'parsleylift-request-id': requestId });
    this.#pendingWrites.forEach((write) => write());
    this.#pendingWrites.length = 0;
  }

  /** @inheritdoc */
  onChunk(offset: number, text: string): void {
    this.#write(() => this.#writeChunk(offset, text));
  }

  /** @inheritdoc */
  onAnswer(answer: RequestAnswer): void {
    this.#write(() => this.#writeAnswer(answer));
  }

  #write(write: () => void): void {
    if (this.#requestId === null) {
      this.#pendingWrites.push(write);
    } else {
      write();
    }
  }

  #writeChunk(offset: number, text: string): void {
    const newText = text.slice(Math.max(0, this.#nextOffset - offset));
    if (newText === '' || offset > this.#nextOffset) {
      return;
    }
    const chunk = { offset: this.#nextOffset, text: newText };
    this.#nextOffset += newText.length;
    this.#writeEvent('chunk', chunk);
  }

  #writeAnswer(answer: RequestAnswer): void {
    if (answer.kind === 'refused') {
      this.#writeEvent('problem', createProblem(answer, this.#requestId));
    } else {
      this.#writeChunk(0, answer.output);
      this.#writeEvent('answer', {
        requestId: this.#requestId,
        lengthUnits: answer.output.length,
        digest: answer.digest,
        costMicros: answer.costMicros,
        stages: answer.stages,
      });
    }
    this.#reply.raw.end();
  }

  #writeEvent(event: string, data: object): void {
    const lines = [`id: ${this.#nextOffset}`, `event: ${event}`, `data: ${JSON.stringify(data)}`];
    this.#reply.raw.write(`${lines.join('\n')}\n\n`);
  }
}
