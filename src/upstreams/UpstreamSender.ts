import type {
  AttemptChunkInput, AttemptFailedInput, AttemptSucceededInput,
} from '../core/CoreInput.ts';
import type { SendAttemptOutput } from '../core/CoreOutput.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { AttemptId } from '../lib/ids.ts';
import type { AnswerReader } from './AnswerReader.ts';
import { AttemptExchange, type ExchangeOutcome } from './AttemptExchange.ts';
import { ATTEMPT_FAILURE } from './AttemptFailure.ts';
import type { AttemptRequest } from './AttemptRequest.ts';
import { EventStreamReader } from './EventStreamReader.ts';
import { UpstreamConnections, type UpstreamConnectionsOptions } from './UpstreamConnections.ts';
import { WholeAnswerReader } from './WholeAnswerReader.ts';
import { createEngineRequest } from './createEngineRequest.ts';
import { createServiceRequest } from './createServiceRequest.ts';
import { createStagePoolRequest } from './createStagePoolRequest.ts';
import { getAttemptFailure } from './getAttemptFailure.ts';

/** What the sender tells of an attempt. */
export type AttemptInput = AttemptChunkInput | AttemptSucceededInput | AttemptFailedInput;

/** Options of the sender. */
export interface UpstreamSenderOptions extends UpstreamConnectionsOptions {
  /**
   * Receives what becomes of the attempts. After `timedOut` a late answer may follow as a second
   * input for the same attempt, so that its outcome and cost are not lost.
   */
  readonly onInput: (input: AttemptInput) => void;
  /** How long a late or cancelled answer, with its cost, is waited for. */
  readonly lateAnswerMs: number;
}

/** How long a late or cancelled answer is waited for, in milliseconds. */
export const DEFAULT_LATE_ANSWER_MS = 2000;

interface RunningAttempt {
  readonly output: SendAttemptOutput;
  readonly exchange: AttemptExchange;
  timer: NodeJS.Timeout;
  isTimedOut: boolean;
  isCancelled: boolean;
}

function createRequest(output: SendAttemptOutput): AttemptRequest {
  switch (output.poolKind) {
    case 'engine':
      return createEngineRequest(output);
    case 'stagePool':
      return createStagePoolRequest(output);
    case 'service':
      return createServiceRequest(output);
    default:
      throw exhaustiveSwitchError(output.poolKind);
  }
}

function abortExchange(exchange: AttemptExchange, detail: string): void {
  exchange.abort({ kind: 'timeout', isSent: exchange.isSent }, detail);
}

/** Sends attempts to upstreams over HTTP and reports what becomes of them. */
export class UpstreamSender {
  readonly #onInput: (input: AttemptInput) => void;

  readonly #lateAnswerMs: number;

  readonly #connections: UpstreamConnections;

  readonly #running = new Map<AttemptId, RunningAttempt>();

  /**
   * @param options - the listener, and bounds that differ from the defaults
   */
  constructor(
    options: Partial<UpstreamSenderOptions> & Pick<UpstreamSenderOptions, 'onInput'>,
  ) {
    this.#onInput = options.onInput;
    this.#lateAnswerMs = options.lateAnswerMs ?? DEFAULT_LATE_ANSWER_MS;
    this.#connections = new UpstreamConnections(options);
  }

  /** Attempts whose end is not known yet, late ones included. */
  get runningCount(): number {
    return this.#running.size;
  }

  /**
   * Sends an attempt. Its end is reported later, never during this call.
   *
   * @param output - the attempt
   */
  send(output: SendAttemptOutput): void {
    const { attemptId } = output;
    const exchange = new AttemptExchange(
      this.#createReader(output),
      (end) => this.#finish(attemptId, end),
    );
    const timer = setTimeout(() => this.#onTimeout(attemptId), output.timeoutMs);
    this.#running.set(attemptId, {
      output, exchange, timer, isTimedOut: false, isCancelled: false,
    });
    this.#dispatch(output, exchange);
  }

  /**
   * Stops an attempt whose result is no longer wanted. Its end is still reported, with its cost.
   *
   * @param attemptId - the attempt; unknown ones are passed over
   */
  cancel(attemptId: AttemptId): void {
    const attempt = this.#running.get(attemptId);
    if (attempt === undefined || attempt.isCancelled) {
      return;
    }
    attempt.isCancelled = true;
    if (!attempt.exchange.isSent) {
      const detail = 'The attempt was cancelled before it was sent.';
      queueMicrotask(() => abortExchange(attempt.exchange, detail));
      return;
    }
    this.#sendCancellation(attempt);
    this.#startLateAnswerTimer(attempt);
  }

  /**
   * Lets go of an upstream that left the configuration; running attempts end first.
   *
   * @param url - base address of the upstream
   */
  async removeUpstream(url: string): Promise<void> {
    await this.#connections.remove(url);
  }

  /** Breaks all connections; running attempts are reported as crashed. */
  async close(): Promise<void> {
    await this.#connections.close();
  }

  #createReader(output: SendAttemptOutput): AnswerReader {
    const { attemptId } = output;
    if (output.poolKind !== 'engine') {
      return new WholeAnswerReader(attemptId);
    }
    return new EventStreamReader(attemptId, (upstreamIncarnation, offset, text) => {
      const attempt = this.#running.get(attemptId);
      if (attempt !== undefined && !attempt.isTimedOut && !attempt.isCancelled) {
        this.#onInput({
          kind: 'attemptChunk', attemptId, upstreamIncarnation, offset, text,
        });
      }
    });
  }

  #dispatch(output: SendAttemptOutput, exchange: AttemptExchange): void {
    const request = createRequest(output);
    try {
      this.#connections.get(output.url).dispatch({ method: 'POST', ...request }, exchange);
    } catch (error) {
      // An unusable address or header is found before anything is sent.
      queueMicrotask(() => exchange.onResponseError(null, error as Error));
    }
  }

  #onTimeout(attemptId: AttemptId): void {
    const attempt = this.#running.get(attemptId);
    if (attempt === undefined) {
      return;
    }
    if (!attempt.exchange.isSent) {
      abortExchange(attempt.exchange, 'No connection became free in time.');
      return;
    }
    attempt.isTimedOut = true;
    this.#onInput({
      kind: 'attemptFailed',
      attemptId,
      failure: ATTEMPT_FAILURE.timedOut,
      costMicros: 0,
      retryAfterMs: null,
      detail: `No answer within ${attempt.output.timeoutMs} ms.`,
    });
    // A service's call may be one that should complete: its late answer tells the outcome.
    if (attempt.output.poolKind !== 'service') {
      this.#sendCancellation(attempt);
    }
    this.#startLateAnswerTimer(attempt);
  }

  #startLateAnswerTimer(attempt: RunningAttempt): void {
    clearTimeout(attempt.timer);

    attempt.timer = setTimeout(
      () => abortExchange(attempt.exchange, 'No late answer came.'),
      this.#lateAnswerMs,
    );
  }

  #sendCancellation(attempt: RunningAttempt): void {
    const { url, attemptId } = attempt.output;
    this.#connections.get(url).request({
      method: 'POST',
      path: '/v1/cancel',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ attemptId }),
      signal: AbortSignal.timeout(this.#lateAnswerMs),
    }).then((response) => response.body.dump()).catch(() => undefined);
  }

  #finish(attemptId: AttemptId, end: ExchangeOutcome): void {
    const attempt = this.#running.get(attemptId);
    if (attempt === undefined) {
      return;
    }
    clearTimeout(attempt.timer);
    this.#running.delete(attemptId);
    if (attempt.isTimedOut && end.kind !== 'result' && end.costMicros === 0) {
      return;
    }
    this.#onInput(UpstreamSender.#createEndInput(attemptId, end));
  }

  static #createEndInput(
    attemptId: AttemptId,
    end: ExchangeOutcome,
  ): AttemptSucceededInput | AttemptFailedInput {
    const { costMicros } = end;
    switch (end.kind) {
      case 'result':
        return {
          kind: 'attemptSucceeded',
          attemptId,
          upstreamIncarnation: end.upstreamIncarnation,
          output: end.output,
          costMicros,
        };
      case 'cancelled':
        return {
          kind: 'attemptFailed',
          attemptId,
          failure: ATTEMPT_FAILURE.errored,
          costMicros,
          retryAfterMs: null,
          detail: 'The upstream stopped the attempt on request.',
        };
      case 'unusable':
        return {
          kind: 'attemptFailed',
          attemptId,
          failure: getAttemptFailure({ kind: 'unusableAnswer' }),
          costMicros,
          retryAfterMs: null,
          detail: end.detail,
        };
      case 'failure':
        return {
          kind: 'attemptFailed',
          attemptId,
          failure: getAttemptFailure(end.evidence),
          costMicros,
          retryAfterMs: end.retryAfterMs,
          detail: end.detail,
        };
      default:
        throw exhaustiveSwitchError(end);
    }
  }
}
