import type { Dispatcher } from 'undici';
import { AnswerTooLargeError } from './AnswerTooLargeError.ts';
import type { AnswerReader, ReadOutcome } from './AnswerReader.ts';
import type { AttemptEvidence } from './getAttemptFailure.ts';
import { getCostMicros, parseJsonObject } from './parseJsonObject.ts';

const MAX_ERROR_BODY_BYTES = 64 * 1024;
const MS_PER_SECOND = 1000;
const FIRST_ERROR_STATUS = 300;

/** An attempt that ended without a result, and what is known of it. */
export interface ExchangeFailure {
  readonly kind: 'failure';
  readonly evidence: AttemptEvidence;
  readonly costMicros: number;
  /** When the upstream asked to come back; null when it did not say. */
  readonly retryAfterMs: number | null;
  readonly detail: string;
}

/** How an exchange ended. */
export type ExchangeOutcome = ReadOutcome | ExchangeFailure;

function getRetryAfterMs(headers: Readonly<Record<string, unknown>>): number | null {
  const seconds = Number(headers['retry-after'] ?? NaN);
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * MS_PER_SECOND : null;
}

/**
 * One request to an upstream, from its dispatch to its end. It counts as sent from the moment when
 * the request is handed to a connection, also when that connection turns out to be closed.
 */
export class AttemptExchange implements Dispatcher.DispatchHandler {
  readonly #reader: AnswerReader;

  readonly #onEnd: (end: ExchangeOutcome) => void;

  #controller: Dispatcher.DispatchController | null = null;

  #isEnded = false;

  #statusCode = 0;

  #retryAfterMs: number | null = null;

  #errorBody = '';

  /**
   * @param reader - reads a successful answer
   * @param onEnd - called exactly once
   */
  constructor(reader: AnswerReader, onEnd: (end: ExchangeOutcome) => void) {
    this.#reader = reader;
    this.#onEnd = onEnd;
  }

  /** Whether the request was handed to a connection. */
  get isSent(): boolean {
    return this.#controller !== null;
  }

  /**
   * Ends the exchange now. A request that still waits for a connection is never sent.
   *
   * @param evidence - why
   * @param detail - the reason in words
   */
  abort(evidence: AttemptEvidence, detail: string): void {
    this.#fail(evidence, 0, detail);
    this.#controller?.abort(new Error(detail));
  }

  /** @inheritdoc */
  onRequestStart(controller: Dispatcher.DispatchController): void {
    // An abort at this point keeps the request from being written, the second time included.
    if (this.#isEnded || this.#controller !== null) {
      controller.abort(new Error('The attempt has ended or was sent before.'));
      return;
    }
    this.#controller = controller;
  }

  /** @inheritdoc */
  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: Readonly<Record<string, unknown>>,
  ): void {
    this.#statusCode = statusCode;
    if (statusCode >= FIRST_ERROR_STATUS) {
      this.#retryAfterMs = getRetryAfterMs(headers);
    }
  }

  /** @inheritdoc */
  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#isEnded) {
      return;
    }
    if (this.#statusCode >= FIRST_ERROR_STATUS) {
      this.#errorBody += chunk.toString('utf8');
      if (this.#errorBody.length > MAX_ERROR_BODY_BYTES) {
        controller.abort(new AnswerTooLargeError('an error', `${MAX_ERROR_BODY_BYTES} bytes`));
      }
      return;
    }
    const outcome = this.#reader.addChunk(chunk);
    if (outcome !== null) {
      this.#finish(outcome);
      if (outcome.kind === 'unusable') {
        controller.abort(new Error(outcome.detail));
      }
    }
  }

  /** @inheritdoc */
  onResponseEnd(): void {
    if (this.#isEnded) {
      return;
    }
    if (this.#statusCode < FIRST_ERROR_STATUS) {
      this.#finish(this.#reader.end());
      return;
    }
    const fields = parseJsonObject(this.#errorBody);
    const { detail, notRun, isCancelled } = fields ?? {};
    const costMicros = getCostMicros(fields);
    if (isCancelled === true) {
      this.#finish({ kind: 'cancelled', costMicros });
      return;
    }
    this.#fail(
      { kind: 'errorStatus', statusCode: this.#statusCode, isNotRun: notRun === true },
      costMicros,
      typeof detail === 'string' ? detail : `The upstream answered ${this.#statusCode}.`,
    );
  }

  /** @inheritdoc */
  onResponseError(_controller: Dispatcher.DispatchController | null, error: Error): void {
    this.#fail({ kind: 'connectionBroken', isSent: this.isSent }, 0, error.message);
  }

  #fail(evidence: AttemptEvidence, costMicros: number, detail: string): void {
    this.#finish({
      kind: 'failure', evidence, costMicros, retryAfterMs: this.#retryAfterMs, detail,
    });
  }

  #finish(end: ExchangeOutcome): void {
    if (!this.#isEnded) {
      this.#isEnded = true;
      this.#onEnd(end);
    }
  }
}
