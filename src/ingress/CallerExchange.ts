import type { ServerResponse } from 'node:http';
import type { CallerRequest } from './CallerRequest.ts';

/** A whole answer. */
export interface WholeAnswer {
  /**
   * Whether the body's length is known for certain. Where it is not, the answer ends with the
   * connection as the upstream's did, so that one cut short does not look whole.
   */
  readonly isFramed: boolean;
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** One request of a caller and the way to answer it. */
export class CallerExchange {
  readonly #response: ServerResponse;

  readonly #shouldClose: () => boolean;

  #hasAnswered = false;

  #isFramed = true;

  /** The request, whole. */
  readonly request: CallerRequest;

  /**
   * @param request - the request
   * @param response - where the answer goes
   * @param shouldClose - whether the connection is to be closed after the answer
   */
  constructor(request: CallerRequest, response: ServerResponse, shouldClose: () => boolean) {
    this.request = request;
    this.#response = response;
    this.#shouldClose = shouldClose;
  }

  /** Whether an answer has begun. */
  get hasAnswered(): boolean {
    return this.#hasAnswered;
  }

  /** Whether the caller has left. */
  get isDisconnected(): boolean {
    return this.#response.destroyed;
  }

  /** @param listener - called when the caller leaves before its answer is complete */
  onDisconnect(listener: () => void): void {
    this.#response.once('close', () => {
      if (!this.#response.writableEnded) {
        listener();
      }
    });
  }

  /** @param answer - the answer; sent at once */
  answer(answer: WholeAnswer): void {
    const lengthHeader = answer.isFramed ? ['Content-Length', String(answer.body.length)] : [];
    if (this.#begin(answer.status, [...answer.headers, ...lengthHeader], answer.isFramed)) {
      this.#response.end(answer.body);
    }
  }

  /**
   * Begins an answer whose length is not known.
   *
   * @param status - the HTTP status
   * @param headers - names and values in turn
   * @param isFramed - whether the end will be marked; otherwise it ends with the connection
   */
  beginStream(status: number, headers: readonly string[], isFramed: boolean): void {
    this.#isFramed = isFramed;
    if (this.#begin(status, headers, isFramed)) {
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

  /**
   * Ends a stream as complete.
   *
   * @param isCertain - whether the upstream has marked the end
   */
  end(isCertain: boolean): void {
    if (this.#isFramed && !isCertain) {
      this.abort();
      return;
    }
    this.#response.end();
  }

  /** Breaks an answer off so that the caller sees that it is not complete. */
  abort(): void {
    this.#hasAnswered = true;
    this.#response.destroy();
  }

  #begin(status: number, headers: readonly string[], isFramed: boolean): boolean {
    if (this.#hasAnswered || this.#response.destroyed) {
      return false;
    }
    this.#hasAnswered = true;
    this.#response.sendDate = false;
    this.#response.useChunkedEncodingByDefault = isFramed;
    const closing = this.#shouldClose() || !isFramed ? ['Connection', 'close'] : [];
    this.#response.writeHead(status, [...headers, ...closing]);
    return true;
  }
}
