import type { ServerResponse } from 'node:http';
import type { CallerRequest } from './CallerRequest.ts';

/** A complete answer, as opposed to a stream. */
export interface WholeAnswer {
  /**
   * Whether the end of the body is certain. If not, the answer ends when the connection closes, as
   * the upstream's answer did, so that a truncated answer does not look complete.
   */
  readonly isFramed: boolean;
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** A request of a caller with the means to answer it. */
export class CallerExchange {
  readonly #response: ServerResponse;

  readonly #shouldClose: () => boolean;

  #hasAnswered = false;

  #isFramed = true;

  /** The request with its whole body. */
  readonly request: CallerRequest;

  /**
   * @param request - the request
   * @param response - receives the answer
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

  /** @param answer - the answer; sent at once */
  answer(answer: WholeAnswer): void {
    const lengthHeader = answer.isFramed ? ['Content-Length', String(answer.body.length)] : [];
    if (this.#begin(answer.status, [...answer.headers, ...lengthHeader], answer.isFramed)) {
      this.#response.end(answer.body);
    }
  }

  /**
   * Begins an answer of unknown length.
   *
   * @param status - the HTTP status
   * @param headers - alternating names and values
   * @param isFramed - whether the end will be marked; otherwise the connection closes at the end
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
   * Ends a stream. A framed stream is aborted unless the upstream marked its end.
   *
   * @param isEndMarked - whether the upstream has marked the end
   */
  end(isEndMarked: boolean): void {
    if (this.#isFramed && !isEndMarked) {
      this.abort();
      return;
    }
    this.#response.end();
  }

  /** Aborts the answer so that the caller sees that it is incomplete. */
  abort(): void {
    this.#hasAnswered = true;
    if (this.#isFramed) {
      this.#response.destroy();
    } else {
      // Without a length or chunks, a plain close would mark the end of a complete answer.
      this.#response.socket?.resetAndDestroy();
    }
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
