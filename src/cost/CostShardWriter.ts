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

interface KnownValue {
  readonly version: number;
  readonly value: CostShardValue;
}

interface RunningCall {
  readonly operationId: OperationId;
  readonly sentAtMs: number;
  /** What is written; null for a read. */
  readonly written: CostShardValue | null;
  /** Submissions that are in `written`. */
  readonly count: number;
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

  #known: KnownValue | null = null;

  #running: RunningCall | null = null;

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
  setLive(incarnationIds: ReadonlySet<IncarnationId>): void {
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
    const lostBeforeMs = nowMs - this.#options.platformTimeoutMs;
    if (this.#running !== null && this.#running.sentAtMs <= lostBeforeMs) {
      this.#running = null;
      this.#known = null;
    }
    if (this.#running !== null || this.#submissions.length === 0 || nowMs < this.#nextWriteAtMs) {
      return;
    }
    this.#nextWriteAtMs = nowMs + this.#options.flushIntervalMs;
    this.#write();
  }

  /** @returns when {@link tick} is needed next, in monotonic milliseconds */
  getNextWakeMs(): number {
    if (this.#running !== null) {
      return this.#running.sentAtMs + this.#options.platformTimeoutMs;
    }
    return this.#submissions.length === 0 ? Infinity : this.#nextWriteAtMs;
  }

  /**
   * @param operationId - which call was answered
   * @param answer - the platform's answer
   * @returns whether the call was this shard's
   */
  handleKeyValueAnswer(operationId: OperationId, answer: KeyValueAnswer): boolean {
    const running = this.#running;
    if (running?.operationId !== operationId) {
      return false;
    }
    this.#running = null;
    switch (answer.kind) {
      case 'swapped':
        this.#known = { version: answer.version, value: running.written ?? EMPTY_COST_SHARD };
        this.#finish(running.count);
        break;
      case 'value':
      case 'conflict':
        this.#known = {
          version: answer.version,
          value: answer.value === '' ? EMPTY_COST_SHARD : JSON.parse(answer.value),
        };
        this.#write();
        break;
      case 'missing':
        this.#known = { version: 0, value: EMPTY_COST_SHARD };
        this.#write();
        break;
      default:
        // No effect, or not known: read again at the next interval and merge again.
        this.#known = null;
    }
    return true;
  }

  #write(): void {
    if (this.#known === null) {
      this.#send({ kind: 'get', key: this.#key }, null);
      return;
    }
    const { version, value } = this.#known;
    const written = this.#merge(value);
    const text = JSON.stringify(written);
    if (text === JSON.stringify(value)) {
      this.#finish(this.#submissions.length);
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
    const count = this.#submissions.length;
    this.#running = {
      operationId, sentAtMs, written, count,
    };
    this.#context.emit({
      kind: 'callKeyValue', operationId, callClass: KEY_VALUE_CLASS.cost, call,
    });
  }

  #finish(count: number): void {
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
        const known = incarnations.get(incarnationId);
        const merged = mergeCostRecords([...known?.records ?? [], ...records]);
        if (JSON.stringify(merged) !== JSON.stringify(known?.records)) {
          const updatedAtMs = this.#options.getWallMs();
          incarnations.set(incarnationId, { incarnationId, updatedAtMs, records: merged });
        }
      });
    return this.#settle({ ...value, incarnations: [...incarnations.values()] });
  }

  /** Adds up incarnations that ended long ago, so that the value does not grow with restarts. */
  #settle(value: CostShardValue): CostShardValue {
    const settleBeforeMs = this.#options.getWallMs() - this.#options.settleAfterMs;
    const isOver = ({ incarnationId, updatedAtMs }: IncarnationCosts): boolean => (
      updatedAtMs < settleBeforeMs && !this.#liveIncarnationIds.has(incarnationId)
    );
    const over = value.incarnations.filter(isOver);
    if (over.length === 0) {
      return value;
    }
    const ids = [...value.settledIncarnationIds, ...over.map(({ incarnationId }) => incarnationId)];
    return {
      incarnations: value.incarnations.filter((costs) => !isOver(costs)),
      settled: addCostRecords([...value.settled, ...over.flatMap(({ records }) => records)]),
      settledIncarnationIds: ids.slice(-this.#options.maxSettledIncarnations),
    };
  }
}
