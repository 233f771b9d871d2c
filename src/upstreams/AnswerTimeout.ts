import type { Readable } from 'node:stream';
import { readBoundedText } from './readBoundedText.ts';

/** Time limits of one call. */
export interface AnswerTimeoutOptions {
  /** Time until the answer begins. */
  readonly beginMs: number;
  /** Longest pause between two parts of the answer. */
  readonly silenceMs: number;
  /** Time for the whole answer from its begin. */
  readonly maxMs: number;
}

/**
 * Aborts a call whose answer does not begin, or stops to arrive. An answer that takes long because
 * it is large and the link is narrow is read to its end: the next call would get the same answer,
 * which by then is larger.
 */
export class AnswerTimeout {
  readonly #options: AnswerTimeoutOptions;

  readonly #controller = new AbortController();

  #timer: NodeJS.Timeout;

  /**
   * @param options - see {@link AnswerTimeoutOptions}
   */
  constructor(options: AnswerTimeoutOptions) {
    this.#options = options;
    this.#timer = this.#abortAfter(options.beginMs, 'no answer');
  }

  /** Aborts the call; pass it to the request. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /**
   * @param body - the body of the answer, not read yet
   * @returns its text
   * @throws Error when it stops to arrive or takes too long, and see {@link readBoundedText}
   */
  async readText(body: Readable): Promise<string> {
    const { silenceMs, maxMs } = this.#options;
    const restart = (): void => {
      clearTimeout(this.#timer);
      this.#timer = this.#abortAfter(silenceMs, 'the answer stopped');
    };
    const total = this.#abortAfter(maxMs, 'the answer is not complete');
    restart();
    body.on('data', restart);
    try {
      return await readBoundedText(body);
    } finally {
      clearTimeout(total);
      this.close();
    }
  }

  /** Ends the limits of a call that failed or was answered. */
  close(): void {
    clearTimeout(this.#timer);
  }

  #abortAfter(durationMs: number, cause: string): NodeJS.Timeout {
    return setTimeout(() => {
      this.#controller.abort(new Error(`${cause} within ${Math.round(durationMs)} ms`));
    }, durationMs);
  }
}
