import type { ServerResponse } from 'node:http';
import type { BufferMemory } from '../memory/BufferMemory.ts';
import type { Clock } from '../time/Clock.ts';
import { UnreadAnswer } from './UnreadAnswer.ts';
import type { CallerRequest } from './CallerRequest.ts';
import { MAX_UNMARKED_BYTES } from './MAX_UNMARKED_BYTES.ts';

/** A complete answer, as opposed to a stream. */
export interface WholeAnswer {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Whether the body is known to be whole; false when its upstream marked no end. */
  readonly isEndMarked: boolean;
}

/** Dependencies of the exchanges of a server. */
export interface CallerExchangeContext {
  readonly clock: Clock;
  /** Memory that large answers count towards until they are read. */
  readonly memory: BufferMemory;
  /** @returns whether a connection is to be closed after its next answer */
  readonly shouldClose: () => boolean;
}

/** Statuses of answers that have neither a body nor a length (RFC 9110, section 8.6). */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * A request of a caller with the means to answer it. A stream or a large answer marks its own end
 * by chunks or by its length, whatever the upstream's answer had: the connection may also close
 * because this process was killed, and the caller must see then that its answer is incomplete.
 */
export class CallerExchange {
  readonly #response: ServerResponse;

  readonly #context: CallerExchangeContext;

  #hasAnswered = false;

  #addedHeaders: readonly string[] = [];

  /** The request with its whole body. */
  readonly request: CallerRequest;

  /**
   * @param request - the request
   * @param response - receives the answer
   * @param context - see {@link CallerExchangeContext}
   */
  constructor(
    request: CallerRequest,
    response: ServerResponse,
    context: CallerExchangeContext,
  ) {
    this.request = request;
    this.#response = response;
    this.#context = context;
  }

  /** Whether an answer has begun. */
  get hasAnswered(): boolean {
    return this.#hasAnswered;
  }

  /** Whether the connection to the caller has closed. */
  get isDisconnected(): boolean {
    return this.#response.destroyed;
  }

  /** @param listener - called when the caller disconnects before its answer is complete */
  onDisconnect(listener: () => void): void {
    this.#response.once('close', () => {
      if (!this.#response.writableEnded) {
        listener();
      }
    });
  }

  /** @param headers - alternating names and values that the answer gets besides its own */
  addAnswerHeaders(headers: readonly string[]): void {
    this.#addedHeaders = headers;
  }

  /** @param answer - the answer; sent at once */
  answer({
    status, headers, body, isEndMarked,
  }: WholeAnswer): void {
    const hasBody = this.request.method !== 'HEAD' && !BODILESS_STATUSES.has(status);
    const isMarked = isEndMarked || body.length > MAX_UNMARKED_BYTES;
    if (hasBody && !isMarked) {
      // Without a length or chunks the answer ends with its connection, as that of the upstream.
      this.#response.useChunkedEncodingByDefault = false;
    }
    const lengthHeader = hasBody && isMarked ? ['Content-Length', String(body.length)] : [];
    if (!this.#begin(status, [...headers, ...lengthHeader])) {
      return;
    }
    if (hasBody && body.length > MAX_UNMARKED_BYTES) {
      const { memory, clock } = this.#context;
      // eslint-disable-next-line no-new -- it writes itself
      new UnreadAnswer(memory, clock, this.#response, body);
    } else {
      this.#response.end(body);
    }
  }

  /**
   * Begins an answer of unknown length.
   *
   * @param status - the HTTP status
   * @param headers - alternating names and values
   */
  beginStream(status: number, headers: readonly string[]): void {
    if (this.#begin(status, headers)) {
      this.#response.flushHeaders();
    }
  }

  /**
   * @param chunk - the next bytes
   * @returns whether more may be written now; otherwise wait for `onWritable`
   */
  write(chunk: Buffer): boolean {
    return this.#response.write(chunk);
  }

  /** @param listener - called once when more may be written */
  onWritable(listener: () => void): void {
    this.#response.once('drain', listener);
  }

  /** Marks the end of a stream that is complete. */
  end(): void {
    this.#response.end();
  }

  /** Aborts the answer so that the caller sees that it is incomplete. */
  abort(): void {
    this.#hasAnswered = true;
    if (this.#response.useChunkedEncodingByDefault) {
      this.#response.destroy();
    } else {
      // To an HTTP/1.0 caller, which knows no chunks, a plain close would mark the end.
      this.#response.socket?.resetAndDestroy();
    }
  }

  #begin(status: number, headers: readonly string[]): boolean {
    if (this.#hasAnswered || this.#response.destroyed) {
      return false;
    }
    this.#hasAnswered = true;
    this.#response.sendDate = false;
    const closing = this.#context.shouldClose() ? ['Connection', 'close'] : [];
    this.#response.writeHead(status, [...headers, ...this.#addedHeaders, ...closing]);
    return true;
  }
}
