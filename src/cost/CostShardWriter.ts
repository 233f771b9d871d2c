import type { CoreContext } from '../core/CoreContext.ts';
import { toId, type IncarnationId, type OperationId } from '../lib/ids.ts';
import {
  KEY_VALUE_CLASS, type KeyValueAnswer, type KeyValueCall,
} from '../platform/KeyValueCall.ts';
import type { CostOptions } from './CostOptions.ts';
import {
  EMPTY_COST_SHARD, type CostRecord, type CostShardValue, type IncarnationCosts,
} from './CostRecord.ts';
import { addCostRecords, mergeCostRecords } from './mergeCostRecords.ts';

interface Submission {
  readonly incarnationId: IncarnationId;
  readonly records: readonly CostRecord[];
  readonly onStored: () => void;
}

interface CachedValue {
  readonly version: number;
  readonly value: CostShardValue;
}

interface PendingCall {
  readonly operationId: OperationId;
  readonly sentAtMs: number;
  /** What is written; null for a read. */
  readonly written: CostShardValue | null;
  /** Submissions that are in `written`. */
  readonly submissionCount: number;
}

/**
 * Writes one shard of the cost ledger for this host and for those that report to it: one
 * compare-and-swap for everything that came since the last. Sums are merged by the larger, so a
 * write whose answer was lost is simply merged again after a read.
 */
export class CostShardWriter {
  readonly #context: CoreContext;

  readonly #key: string;

  readonly #options: CostOptions;

  #submissions: Submission[] = [];

  #cached: CachedValue | null = null;

  #pendingCall: PendingCall | null = null;

  #nextWriteAtMs = 0;

  #liveIncarnationIds: ReadonlySet<IncarnationId> = new Set();

  /**
   * @param context - time, randomness and the way to the platform
   * @param shardIndex - which shard
   * @param options - settings of the ledger
   */
  constructor(context: CoreContext, shardIndex: number, options: CostOptions) {
    this.#context = context;
    this.#key = `cost/${shardIndex}`;
    this.#options = options;
  }

  /**
   * @param incarnationIds - processes that may still report
   */
  setLiveIncarnations(incarnationIds: ReadonlySet<IncarnationId>): void {
    this.#liveIncarnationIds = incarnationIds;
  }

  /**
   * @param incarnationId - whose sums
   * @param records - the sums
   * @param onStored - called once, when they are durable
   */
  submit(
    incarnationId: IncarnationId,
    records: readonly CostRecord[],
    onStored: () => void,
  ): void {
    this.#submissions.push({ incarnationId, records, onStored });
  }

  /** Makes the next platform call when one is due. */
  tick(): void {
    const nowMs = this.#context.getNowMs();
    const timedOutBeforeMs = nowMs - this.#options.platformTimeoutMs;
    if (this.#pendingCall !== null && this.#pendingCall.sentAtMs <= timedOutBeforeMs) {
      this.#pendingCall = null;
      this.#cached = null;
    }
    if (this.#pendingCall !== null || this.#submissions.length === 0 || nowMs < this.#nextWriteAtMs) {
      return;
    }
    this.#nextWriteAtMs = nowMs + this.#options.flushIntervalMs;
    this.#write();
  }

  /** @returns when {@link tick} is needed next, in monotonic milliseconds */
  getNextWakeMs(): number {
    if (this.#pendingCall !== null) {
      return this.#pendingCall.sentAtMs + this.#options.platformTimeoutMs;
    }
    return this.#submissions.length === 0 ? Infinity : this.#nextWriteAtMs;
  }

  /**
   * @param operationId - which call was answered
   * @param answer - the platform's answer
   * @returns whether the call was this shard's
   */
  handleKeyValueAnswer(operationId: OperationId, answer: KeyValueAnswer): boolean {
    const pendingCall = this.#pendingCall;
    if (pendingCall?.operationId !== operationId) {
      return false;
    }
    this.#pendingCall = null;
    switch (answer.kind) {
      case 'swapped':
        this.#cached = { version: answer.version, value: pendingCall.written ?? EMPTY_COST_SHARD };
        this.#completeSubmissions(pendingCall.submissionCount);
        break;
      case 'value':
      case 'conflict':
        this.#cached = {
          version: answer.version,
          value: answer.value === '' ? EMPTY_COST_SHARD : JSON.parse(answer.value),
        };
        this.#write();
        break;
      case 'missing':
        this.#cached = { version: 0, value: EMPTY_COST_SHARD };
        this.#write();
        break;
      default:
        // No effect, or not known: read again at the next interval and merge again.
        this.#cached = null;
    }
    return true;
  }

  #write(): void {
    if (this.#cached === null) {
      this.#send({ kind: 'get', key: this.#key }, null);
      return;
    }
    const { version, value } = this.#cached;
    const written = this.#merge(value);
    const text = JSON.stringify(written);
    if (text === JSON.stringify(value)) {
      this.#completeSubmissions(this.#submissions.length);
      return;
    }
    this.#send({
      kind: 'compareAndSwap', key: this.#key, expectedVersion: version, value: text,
    }, written);
  }

  #send(
    call: KeyValueCall,
    written: CostShardValue | null,
  ): void {
    const operationId = toId<OperationId>(this.#context.random.getHexId());
    const sentAtMs = this.#context.getNowMs();
    const submissionCount = this.#submissions.length;
    this.#pendingCall = {
      operationId, sentAtMs, written, submissionCount: submissionCount,
    };
    this.#context.emit({
      kind: 'callKeyValue', operationId, callClass: KEY_VALUE_CLASS.cost, call,
    });
  }

  #completeSubmissions(count: number): void {
    const stored = this.#submissions.slice(0, count);
    this.#submissions = this.#submissions.slice(count);
    stored.forEach(({ onStored }) => onStored());
  }

  #merge(value: CostShardValue): CostShardValue {
    const settledIds = new Set(value.settledIncarnationIds);
    const incarnations = new Map(value.incarnations.map((costs) => [costs.incarnationId, costs]));
    this.#submissions
      .filter(({ incarnationId }) => !settledIds.has(incarnationId))
      .forEach(({ incarnationId, records }) => {
        const existing = incarnations.get(incarnationId);
        const merged = mergeCostRecords([...existing?.records ?? [], ...records]);
        if (JSON.stringify(merged) !== JSON.stringify(existing?.records)) {
          const updatedAtMs = this.#options.getWallMs();
          incarnations.set(incarnationId, { incarnationId, updatedAtMs, records: merged });
        }
      });
    return this.#settle({ ...value, incarnations: [...incarnations.values()] });
  }

  /** Adds up incarnations that ended long ago, so that the value does not grow with restarts. */
  #settle(value: CostShardValue): CostShardValue {
    const settleBeforeMs = this.#options.getWallMs() - this.#options.settleAfterMs;
    const canSettle = ({ incarnationId, updatedAtMs }: IncarnationCosts): boolean => (
      updatedAtMs < settleBeforeMs && !this.#liveIncarnationIds.has(incarnationId)
    );
    const settling = value.incarnations.filter(canSettle);
    if (settling.length === 0) {
      return value;
    }
    const settledIncarnationIds = [...value.settledIncarnationIds, ...settling.map(({ incarnationId }) => incarnationId)];
    return {
      incarnations: value.incarnations.filter((costs) => !canSettle(costs)),
      settled: addCostRecords([...value.settled, ...settling.flatMap(({ records }) => records)]),
      settledIncarnationIds: settledIncarnationIds.slice(-this.#options.maxSettledIncarnations),
    };
  }
}
