import type { CoreContext } from '../core/CoreContext.ts';
import type { OperationId } from '../lib/ids.ts';
import type { OperatorAnswer } from '../operators/OperatorAnswer.ts';
import type { KeyValueCall } from '../platform/KeyValueCall.ts';
import { Backoff } from './Backoff.ts';
import type { AnswerHandler, ConfigurationStoreClient } from './ConfigurationStoreClient.ts';

/** Timeouts and delays of an operator's call. */
export interface OperatorTaskTimeouts {
  /** Time after which an unfinished call is answered as unavailable. */
  readonly callTimeoutMs: number;
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
  /** Delay after which the operator is asked to retry. */
  readonly retryAfterMs: number;
}

/** Defaults of {@link OperatorTaskTimeouts}. */
export const DEFAULT_OPERATOR_TASK_TIMEOUTS: OperatorTaskTimeouts = {
  callTimeoutMs: 8_000,
  minBackoffMs: 100,
  maxBackoffMs: 1_000,
  retryAfterMs: 2_000,
};

/** Options that all operator tasks share. */
export interface OperatorTaskOptions {
  readonly context: CoreContext;
  readonly client: ConfigurationStoreClient;
  readonly timeouts: OperatorTaskTimeouts;
  /** Identifies the operator's call in the answer. */
  readonly callId: string;
}

/** Executes one operator's call, with at most one platform call or retry delay at a time. */
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
   * @param options - see {@link OperatorTaskOptions}
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
   * @returns whether the call has been answered
   */
  isFinished(): boolean {
    return this.#isFinished;
  }

  /** Runs a due retry; answers a call that has timed out. */
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
   * @returns the time at which the next tick is due; Infinity when the task is finished
   */
  getNextWakeMs(): number {
    return this.#isFinished
      ? Infinity
      : Math.min(this.#timesOutAtMs, this.#retry?.atMs ?? Infinity);
  }

  /** Answers a call that has timed out. */
  protected abstract handleTimeout(): void;

  /**
   * Sends a call to the platform.
   *
   * @param call - the call
   * @param handler - handles the answer
   */
  protected send(call: KeyValueCall, handler: AnswerHandler): void {
    this.#operationId = this.#client.send(call, handler);
  }

  /**
   * Schedules a retry after the next backoff delay.
   *
   * @param run - the action to retry
   */
  protected retryLater(run: () => void): void {
    this.#retry = { atMs: this.context.getNowMs() + this.#backoff.getNextDelayMs(), run };
  }

  /**
   * Answers the operator and finishes the task.
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
   * Answers the operator that the platform is unavailable and finishes the task.
   *
   * @param isOutcomeUnknown - whether a write may have taken effect
   */
  protected finishUnavailable(isOutcomeUnknown: boolean): void {
    const { retryAfterMs } = this.timeouts;
    this.finish({ kind: 'platformUnavailable', isOutcomeUnknown, retryAfterMs });
  }
}
