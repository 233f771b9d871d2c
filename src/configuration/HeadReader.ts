import type { CoreContext } from '../core/CoreContext.ts';
import type { KeyValueAnsweredInput } from '../core/CoreInput.ts';
import { toId, type OperationId } from '../lib/ids.ts';
import {
  KEY_VALUE_CLASS, type KeyValueAnswer, type KeyValueCall,
} from '../platform/KeyValueCall.ts';
import { Backoff, getJitteredDelayMs } from './Backoff.ts';
import { CONFIGURATION_HEAD_KEY } from './CONFIGURATION_HEAD_KEY.ts';

/** Options of a {@link HeadReader}. */
export interface HeadReaderOptions {
  /** Maximum duration of one watch. */
  readonly watchWaitMs: number;
  /** Delay before the next watch, so that immediate answers don't cause a busy loop. */
  readonly watchDelayMs: number;
  /** Interval between the polls of a host that doesn't watch. */
  readonly pollIntervalMs: number;
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
  /** Time, beyond the duration of a watch, after which an unanswered read counts as lost. */
  readonly answerTimeoutMs: number;
}

/** Defaults of {@link HeadReaderOptions}. */
export const DEFAULT_HEAD_READER_OPTIONS: HeadReaderOptions = {
  watchWaitMs: 25_000,
  watchDelayMs: 100,
  pollIntervalMs: 60_000,
  minBackoffMs: 200,
  maxBackoffMs: 8_000,
  answerTimeoutMs: 5_000,
};

interface PendingRead {
  readonly operationId: OperationId;
  readonly timesOutAtMs: number;
}

/**
 * Repeatedly reads the head of the configuration: by watches on the few hosts that are watchers, by
 * rare polls on the others, and with jittered backoff while the platform is unreachable.
 */
export class HeadReader {
  readonly #context: CoreContext;

  readonly #options: HeadReaderOptions;

  readonly #backoff: Backoff;

  #pending: PendingRead | null = null;

  #nextReadMs: number;

  #isWatcher = false;

  /** Key version in the latest answer; null before the first one. */
  #keyVersion: number | null = null;

  #isReachable = false;

  /**
   * @param context - time, randomness and the core's outputs
   * @param options - defaults: {@link DEFAULT_HEAD_READER_OPTIONS}
   */
  constructor(context: CoreContext, options: Partial<HeadReaderOptions> = {}) {
    this.#context = context;
    this.#options = { ...DEFAULT_HEAD_READER_OPTIONS, ...options };
    const { minBackoffMs, maxBackoffMs } = this.#options;
    this.#backoff = new Backoff(
      context.random,
      { minDelayMs: minBackoffMs, maxDelayMs: maxBackoffMs },
    );
    this.#nextReadMs = context.getNowMs();
  }

  /**
   * Sets whether the head is read by watches or by polls.
   *
   * @param isWatcher - whether this host is one of the few watchers
   */
  setIsWatcher(isWatcher: boolean): void {
    if (this.#isWatcher === isWatcher) {
      return;
    }
    this.#isWatcher = isWatcher;
    if (isWatcher) {
      const nextWatchMs = this.#context.getNowMs()
        + getJitteredDelayMs(this.#context.random, this.#options.watchDelayMs);
      this.#nextReadMs = Math.min(this.#nextReadMs, nextWatchMs);
    }
  }

  /**
   * @returns whether the latest read was answered
   */
  isReachable(): boolean {
    return this.#isReachable;
  }

  /** Sends the next read when it is due. */
  tick(): void {
    const nowMs = this.#context.getNowMs();
    if (this.#pending !== null && nowMs >= this.#pending.timesOutAtMs) {
      this.#pending = null;
      this.#recordFailure();
    }
    if (this.#pending === null && nowMs >= this.#nextReadMs) {
      this.#read();
    }
  }

  /**
   * @returns the time at which the next tick is due
   */
  getNextWakeMs(): number {
    return this.#pending?.timesOutAtMs ?? this.#nextReadMs;
  }

  /**
   * Handles the answer to the pending read; ignores other answers.
   *
   * @param input - any answer of the key-value service
   * @returns the answer to the pending read; null for another answer
   */
  handleKeyValueAnswer(input: KeyValueAnsweredInput): KeyValueAnswer | null {
    if (this.#pending?.operationId !== input.operationId) {
      return null;
    }
    this.#pending = null;
    const { answer } = input;
    if (answer.kind !== 'value' && answer.kind !== 'missing') {
      this.#recordFailure();
      return answer;
    }
    this.#backoff.reset();
    this.#isReachable = true;
    // Stored even when lower: after a restore of the service from a backup, a watch from the old,
    // higher version would not be notified. A stale read only makes the next watch answer at once.
    this.#keyVersion = answer.kind === 'value' ? answer.version : 0;
    const { watchDelayMs, pollIntervalMs } = this.#options;
    this.#scheduleIn(getJitteredDelayMs(
      this.#context.random,
      this.#isWatcher ? watchDelayMs : pollIntervalMs,
    ));
    return answer;
  }

  #recordFailure(): void {
    this.#isReachable = false;
    this.#scheduleIn(this.#backoff.getNextDelayMs());
  }

  #scheduleIn(delayMs: number): void {
    this.#nextReadMs = this.#context.getNowMs() + delayMs;
  }

  #read(): void {
    const operationId = toId<OperationId>(this.#context.random.getHexId());
    const { watchWaitMs, answerTimeoutMs } = this.#options;
    const call: KeyValueCall = this.#isWatcher && this.#keyVersion !== null
      ? {
        kind: 'watch',
        key: CONFIGURATION_HEAD_KEY,
        afterVersion: this.#keyVersion,
        waitMs: watchWaitMs,
      }
      : { kind: 'get', key: CONFIGURATION_HEAD_KEY };
    const waitMs = call.kind === 'watch' ? call.waitMs : 0;
    this.#pending = {
      operationId, timesOutAtMs: this.#context.getNowMs() + waitMs + answerTimeoutMs,
    };
    this.#context.emit({
      kind: 'callKeyValue', operationId, callClass: KEY_VALUE_CLASS.configuration, call,
    });
  }
}
