import type { ServerResponse } from 'node:http';
import type { StandinServer } from './StandinServer.ts';
import { getGeneratedTokens, getTextDigest } from './getStandinText.ts';

/** Options of a token stream. */
export interface TokenStreamOptions {
  readonly attemptId: string;
  readonly incarnation: string;
  readonly response: ServerResponse;
  readonly prompt: string;
  readonly options: { readonly tokenCount: number; readonly tokenMs: number };
}

/** Options for writing the tokens. */
export interface WriteTokensOptions {
  /** Tokens that begin before this offset, in UTF-16 code units, are not written. */
  readonly fromOffset: number;
  /** Whether half of the tokens are left out. */
  readonly isTruncated: boolean;
  /** Whether each event is written twice. */
  readonly isRepeated: boolean;
}

/** The server-sent events of one generation. */
export class TokenStream {
  readonly #options: TokenStreamOptions;

  readonly #tokens: readonly string[];

  /**
   * @param options - see {@link TokenStreamOptions}
   */
  constructor(options: TokenStreamOptions) {
    this.#options = options;
    this.#tokens = getGeneratedTokens(options.prompt, options.options.tokenCount);
  }

  /**
   * Writes tokens until the end, a cancellation, a crash or the loss of the connection.
   *
   * @param server - waits for the time between tokens
   * @param signal - aborted when the attempt is cancelled
   * @param writeOptions - see {@link WriteTokensOptions}
   * @returns the number of generated tokens
   */
  async writeTokens(
    server: StandinServer,
    signal: AbortSignal,
    writeOptions: WriteTokensOptions,
  ): Promise<number> {
    const { incarnation, response } = this.#options;
    const count = writeOptions.isTruncated ? this.#tokens.length / 2 : this.#tokens.length;
    let offset = 0;
    let index = 0;
    let isRunning = true;
    while (isRunning && index < count) {
      const text = this.#tokens[index] ?? '';
      if (offset >= writeOptions.fromOffset) {
        this.#writeEvent({ offset, text }, writeOptions.isRepeated);
      }
      offset += text.length;
      index += 1;
      // eslint-disable-next-line no-await-in-loop -- tokens are written sequentially
      isRunning = await server.spendServiceTime(this.#options.options.tokenMs, signal);
      isRunning &&= incarnation === server.incarnation && !response.destroyed;
    }
    return index;
  }

  /**
   * Writes the final event.
   *
   * @param tokenCount - the number of generated tokens
   * @param costMicros - their price, in millionths of the billing currency
   */
  writeEnd(tokenCount: number, costMicros: number): void {
    const text = this.#tokens.slice(0, tokenCount).join('');
    this.#writeEvent({
      isEnd: true,
      isCancelled: tokenCount < this.#tokens.length,
      lengthUnits: text.length,
      digest: getTextDigest(text),
      costMicros,
    }, false);
  }

  #writeEvent(event: object, isRepeated: boolean): void {
    const { attemptId, incarnation, response } = this.#options;
    const text = `data: ${JSON.stringify({ attemptId, incarnation, ...event })}\n\n`;
    response.write(isRepeated ? text + text : text);
  }
}
