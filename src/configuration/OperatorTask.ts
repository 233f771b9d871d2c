import type { CoreContext } from '../core/CoreContext.ts';
import type { OperationId } from '../lib/ids.ts';
import type { OperatorAnswer } from '../operators/OperatorAnswer.ts';
import type { KeyValueCall } from '../platform/KeyValueCall.ts';
import { Backoff } from './Backoff.ts';
import type { AnswerHandler, ConfigurationStoreClient } from './ConfigurationStoreClient.ts';

/** How long an operator's call may take. */
export interface OperatorTaskTimeouts {
  /** After this time the call is answered as unavailable. */
  readonly callTimeoutMs: number;
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
  /** When the operator is told to come back. */
  readonly retryAfterMs: number;
}

/** The defaults of {@link OperatorTaskTimeouts}. */
export const DEFAULT_OPERATOR_TASK_TIMEOUTS: OperatorTaskTimeouts = {
  callTimeoutMs: 8_000,
  minBackoffMs: 100,
  maxBackoffMs: 1_000,
  retryAfterMs: 2_000,
};

/** What a flow is made with. */
export interface OperatorTaskOptions {
  readonly context: CoreContext;
  readonly client: ConfigurationStoreClient;
  readonly timeouts: OperatorTaskTimeouts;
  /** Names the operator's call in the answer. */
  readonly callId: string;
}

/** One operator's call under way: at most one platform call or one pause at a time. */
export abstract class OperatorTask {
  protected readonly context: CoreContext;

  protected readonly timeouts: OperatorTaskTimeouts;

  readonly #client: ConfigurationStoreClient;

  readonly #callId: string;

  readonly #backoff: Backoff;

  readonly #timesOutAtMs: number;

  #operationId: OperationId | null = null;

  #retry: { readonly atMs: number; readonly run: () => void } | null = null;

  #isFinished = false;

  /**
   * @param options - what the flow works with
   */
  constructor(options: OperatorTaskOptions) {
    this.context = options.context;
    this.timeouts = options.timeouts;
    this.#client = options.client;
    this.#callId = options.callId;
    const { callTimeoutMs, minBackoffMs, maxBackoffMs } = options.timeouts;
    this.#backoff = new Backoff(
      options.context.random,
      { minDelayMs: minBackoffMs, maxDelayMs: maxBackoffMs },
    );
    this.#timesOutAtMs = options.context.getNowMs() + callTimeoutMs;
  }

  /**
   * @returns whether the call was answered
   */
  isFinished(): boolean {
    return this.#isFinished;
  }

  /** Runs a due retry; answers a call that took too long. */
  tick(): void {
    const nowMs = this.context.getNowMs();
    if (this.#isFinished) {
      return;
    }
    if (nowMs >= this.#timesOutAtMs) {
      this.handleTimeout();
    } else if (this.#retry !== null && nowMs >= this.#retry.atMs) {
      const { run } = this.#retry;
      this.#retry = null;
      run();
    }
  }

  /**
   * @returns when the next tick is needed
   */
  getNextWakeMs(): number {
    return this.#isFinished ? Infinity : Math.min(this.#timesOutAtMs, this.#retry?.atMs ?? Infinity);
  }

  /** Answers a call that took too long. */
  protected abstract handleTimeout(): void;

  /**
   * @param call - to the platform
   * @param handler - takes the answer
   */
  protected send(call: KeyValueCall, handler: AnswerHandler): void {
    this.#operationId = this.#client.send(call, handler);
  }

  /**
   * @param run - what to do after a pause
   */
  protected retryLater(run: () => void): void {
    this.#retry = { atMs: this.context.getNowMs() + this.#backoff.getNextDelayMs(), run };
  }

  /**
   * Answers the operator and ends the flow.
   *
   * @param answer - the answer
   */
  protected finish(answer: OperatorAnswer): void {
    this.#isFinished = true;
    if (this.#operationId !== null) {
      this.#client.removeHandler(this.#operationId);
    }
    this.context.emit({ kind: 'answerOperator', callId: this.#callId, answer });
  }

  /**
   * @param isOutcomeUnknown - whether a write may have taken effect
   */
  protected finishUnavailable(isOutcomeUnknown: boolean): void {
    const { retryAfterMs } = this.timeouts;
    this.finish({ kind: 'platformUnavailable', isOutcomeUnknown, retryAfterMs });
  }
}
