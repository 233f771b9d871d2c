import type { CoreContext } from '../core/CoreContext.ts';
import type { KeyValueAnsweredInput } from '../core/CoreInput.ts';
import { toId, type OperationId } from '../lib/ids.ts';
import {
  KEY_VALUE_CLASS, type KeyValueAnswer, type KeyValueCall,
} from '../platform/KeyValueCall.ts';
import { Backoff, getJitteredDelayMs } from './Backoff.ts';
import { CONFIGURATION_HEAD_KEY } from './CONFIGURATION_HEAD_KEY.ts';

/** How the head is read. */
export interface HeadReaderOptions {
  /** Longest wait of one watch. */
  readonly watchWaitMs: number;
  /** Pause before the next watch, so that answers without news can't spin. */
  readonly watchDelayMs: number;
  /** Time between the reads of a host that doesn't watch. */
  readonly pollIntervalMs: number;
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
  /** How long an answer may be overdue before it counts as lost. */
  readonly answerTimeoutMs: number;
}

/** The defaults of {@link HeadReaderOptions}. */
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
 * Keeps reading the head of the configuration: by a watch on the few hosts that watch, by a rare
 * poll on the others, with jittered backoff while the platform is away.
 */
export class HeadReader {
  readonly #context: CoreContext;

  readonly #options: HeadReaderOptions;

  readonly #backoff: Backoff;

  #pending: PendingRead | null = null;

  #nextReadMs: number;

  #isWatcher = false;

  /** Version of the key in the last answer; null before the first. */
  #keyVersion: number | null = null;

  #isReachable = false;

  /**
   * @param context - time, randomness and the way out
   * @param options - see {@link DEFAULT_HEAD_READER_OPTIONS}
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
   * @param isWatcher - whether this host is one of the few that watch
   */
  setIsWatcher(isWatcher: boolean): void {
    if (this.#isWatcher === isWatcher) {
      return;
    }
    this.#isWatcher = isWatcher;
    if (isWatcher) {
      const soonMs = this.#context.getNowMs()
        + getJitteredDelayMs(this.#context.random, this.#options.watchDelayMs);
      this.#nextReadMs = Math.min(this.#nextReadMs, soonMs);
    }
  }

  /**
   * @returns whether the last read got an answer
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
   * @returns when the next tick is needed
   */
  getNextWakeMs(): number {
    return this.#pending?.timesOutAtMs ?? this.#nextReadMs;
  }

  /**
   * Takes an answer to an own read.
   *
   * @param input - any answer of the key-value service
   * @returns the answer when it was to an own read; null otherwise
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
    // Taken as it is, also when lower: after a restore of the service a watch above the old number
    // would not be woken, and a stale read only makes the next watch answer at once.
    this.#keyVersion = answer.kind === 'value' ? answer.version : 0;
    const { watchDelayMs: rearmMs, pollIntervalMs: pollMs } = this.#options;
    this.#scheduleIn(getJitteredDelayMs(this.#context.random, this.#isWatcher ? rearmMs : pollMs));
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
    const { watchWaitMs, answerTimeoutMs: answerMarginMs } = this.#options;
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
      operationId, timesOutAtMs: this.#context.getNowMs() + waitMs + answerMarginMs,
    };
    this.#context.emit({
      kind: 'callKeyValue', operationId, callClass: KEY_VALUE_CLASS.configuration, call,
    });
  }
}
