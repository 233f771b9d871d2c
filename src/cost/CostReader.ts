import type { CoreContext } from '../core/CoreContext.ts';
import { toId, type IncarnationId, type OperationId } from '../lib/ids.ts';
import { KEY_VALUE_CLASS, type KeyValueAnswer } from '../platform/KeyValueCall.ts';
import type { CostOptions } from './CostOptions.ts';
import { EMPTY_COST_SHARD, type CostRecord, type CostShardValue } from './CostRecord.ts';
import { addCostRecords, mergeCostRecords } from './mergeCostRecords.ts';

/** Gets the sums over all incarnations, or null when the platform did not answer. */
export type CostRecordsListener = (records: CostRecord[] | null) => void;

/** The sums of the reading incarnation, which are newer than what it stored. */
export interface OwnCosts {
  readonly incarnationId: IncarnationId;
  getRecords(): readonly CostRecord[];
}

interface PendingRead {
  readonly own: OwnCosts;
  readonly onRecords: CostRecordsListener;
  readonly startedAtMs: number;
  readonly pendingOperationIds: Set<OperationId>;
  readonly values: CostShardValue[];
}

function mergeShardValues(values: readonly CostShardValue[], own: OwnCosts): CostRecord[] {
  const incarnations = values.flatMap((value) => value.incarnations);
  const others = incarnations.filter(({ incarnationId }) => incarnationId !== own.incarnationId);
  const stored = incarnations.filter(({ incarnationId }) => incarnationId === own.incarnationId);
  return addCostRecords([
    ...values.flatMap(({ settled }) => settled),
    ...others.flatMap(({ records }) => records),
    ...mergeCostRecords([...stored.flatMap(({ records }) => records), ...own.getRecords()]),
  ]);
}

/** Reads all shards of the cost ledger and merges the incarnations. */
export class CostReader {
  readonly #context: CoreContext;

  readonly #options: CostOptions;

  readonly #pendingReads = new Set<PendingRead>();

  /**
   * @param context - time, randomness and the way to the platform
   * @param options - settings of the ledger
   */
  constructor(context: CoreContext, options: CostOptions) {
    this.#context = context;
    this.#options = options;
  }

  /**
   * @param own - the reading incarnation's sums
   * @param onRecords - called once
   */
  read(own: OwnCosts, onRecords: CostRecordsListener): void {
    const pendingRead: PendingRead = {
      own, onRecords, startedAtMs: this.#context.getNowMs(), pendingOperationIds: new Set(), values: [],
    };
    this.#pendingReads.add(pendingRead);
    for (let shardIndex = 0; shardIndex < this.#options.shardCount; shardIndex += 1) {
      const operationId = toId<OperationId>(this.#context.random.getHexId());
      pendingRead.pendingOperationIds.add(operationId);
      this.#context.emit({
        kind: 'callKeyValue',
        operationId,
        callClass: KEY_VALUE_CLASS.cost,
        call: { kind: 'get', key: `cost/${shardIndex}` },
      });
    }
  }

  /**
   * @param operationId - which call was answered
   * @param answer - the platform's answer
   * @returns whether the call was a reading's
   */
  handleKeyValueAnswer(operationId: OperationId, answer: KeyValueAnswer): boolean {
    const reading = [...this.#pendingReads].find(({ pendingOperationIds: waiting }) => waiting.has(operationId));
    if (reading === undefined) {
      return false;
    }
    reading.pendingOperationIds.delete(operationId);
    if (answer.kind !== 'value' && answer.kind !== 'missing') {
      this.#complete(reading, null);
      return true;
    }
    reading.values.push(answer.kind === 'value' ? JSON.parse(answer.value) : EMPTY_COST_SHARD);
    if (reading.pendingOperationIds.size === 0) {
      this.#complete(reading, mergeShardValues(reading.values, reading.own));
    }
    return true;
  }

  /** Gives up readings that the platform does not answer. */
  tick(): void {
    const timedOutBeforeMs = this.#context.getNowMs() - this.#options.platformTimeoutMs;
    [...this.#pendingReads]
      .filter(({ startedAtMs }) => startedAtMs <= timedOutBeforeMs)
      .forEach((reading) => this.#complete(reading, null));
  }

  /** @returns when {@link tick} is needed next, in monotonic milliseconds */
  getNextWakeMs(): number {
    const startTimesMs = [...this.#pendingReads].map(({ startedAtMs }) => startedAtMs);
    return Math.min(Infinity, ...startTimesMs) + this.#options.platformTimeoutMs;
  }

  #complete(reading: PendingRead, records: CostRecord[] | null): void {
    this.#pendingReads.delete(reading);
    reading.onRecords(records);
  }
}
