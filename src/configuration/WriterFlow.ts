import type { CoreContext } from '../core/CoreContext.ts';
import type { OperationId } from '../lib/ids.ts';
import type { OperatorAnswer } from '../operators/OperatorAnswer.ts';
import type { KeyValueCall } from '../platform/KeyValueCall.ts';
import { Backoff } from './Backoff.ts';
import type { AnswerHandler, ConfigurationChannel } from './ConfigurationChannel.ts';

/** How long an operator's call may take. */
export interface WriterFlowOptions {
  /** After this time the call is answered as unavailable. */
  readonly callTimeoutMs: number;
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
  /** When the operator is told to come back. */
  readonly retryAfterMs: number;
}

/** The defaults of {@link WriterFlowOptions}. */
export const DEFAULT_WRITER_FLOW_OPTIONS: WriterFlowOptions = {
  callTimeoutMs: 8_000,
  minBackoffMs: 100,
  maxBackoffMs: 1_000,
  retryAfterMs: 2_000,
};

/** What a flow is made with. */
export interface WriterFlowParts {
  readonly context: CoreContext;
  readonly channel: ConfigurationChannel;
  readonly options: WriterFlowOptions;
  /** Names the operator's call in the answer. */
  readonly callId: string;
}

/** One operator's call under way: at most one platform call or one pause at a time. */
export abstract class WriterFlow {
  protected readonly context: CoreContext;

  protected readonly options: WriterFlowOptions;

  readonly #channel: ConfigurationChannel;

  readonly #callId: string;

  readonly #backoff: Backoff;

  readonly #endMs: number;

  #operationId: OperationId | null = null;

  #retry: { readonly atMs: number; readonly run: () => void } | null = null;

  #isFinished = false;

  /**
   * @param parts - what the flow works with
   */
  constructor(parts: WriterFlowParts) {
    this.context = parts.context;
    this.options = parts.options;
    this.#channel = parts.channel;
    this.#callId = parts.callId;
    const { callTimeoutMs, minBackoffMs, maxBackoffMs } = parts.options;
    this.#backoff = new Backoff(
      parts.context.random,
      { minDelayMs: minBackoffMs, maxDelayMs: maxBackoffMs },
    );
    this.#endMs = parts.context.getNowMs() + callTimeoutMs;
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
    if (nowMs >= this.#endMs) {
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
    return this.#isFinished ? Infinity : Math.min(this.#endMs, this.#retry?.atMs ?? Infinity);
  }

  /** Answers a call that took too long. */
  protected abstract handleTimeout(): void;

  /**
   * @param call - to the platform
   * @param handler - takes the answer
   */
  protected send(call: KeyValueCall, handler: AnswerHandler): void {
    this.#operationId = this.#channel.send(call, handler);
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
      this.#channel.forget(this.#operationId);
    }
    this.context.emit({ kind: 'answerOperator', callId: this.#callId, answer });
  }

  /**
   * @param isOutcomeUnknown - whether a write may have taken effect
   */
  protected finishUnavailable(isOutcomeUnknown: boolean): void {
    const { retryAfterMs } = this.options;
    this.finish({ kind: 'platformUnavailable', isOutcomeUnknown, retryAfterMs });
  }
}
