import type {
  AccountId, IncarnationId, PipelineId, StageId,
} from '../lib/ids.ts';

/** Cost of the attempts of one stage for one client account, summed by one incarnation. */
export interface CostRecord {
  readonly accountId: AccountId;
  readonly pipelineId: PipelineId;
  readonly stageId: StageId;
  readonly attemptCount: number;
  readonly costMicros: number;
}

/** The sums of one incarnation; they only grow, so the larger of two copies is the newer. */
export interface IncarnationCosts {
  readonly incarnationId: IncarnationId;
  /** Unix time of the last growth. */
  readonly updatedAtMs: number;
  readonly records: readonly CostRecord[];
}

/** Platform value of one shard of the ledger, stored under `cost/SHARD`. */
export interface CostShardValue {
  readonly incarnations: readonly IncarnationCosts[];
  /** Sums of incarnations that ended long ago. */
  readonly settled: readonly CostRecord[];
  /** Incarnations whose sums are in `settled`, newest last; their late reports are ignored. */
  readonly settledIncarnationIds: readonly IncarnationId[];
}

/** Value of a shard without records. */
export const EMPTY_COST_SHARD: CostShardValue = {
  incarnations: [], settled: [], settledIncarnationIds: [],
};

/**
 * Makes the key that identifies a record within an incarnation.
 *
 * @param record - a record
 * @returns the key
 */
export function getCostKey(
  { accountId, pipelineId, stageId }: Pick<CostRecord, 'accountId' | 'pipelineId' | 'stageId'>,
): string {
  return JSON.stringify([accountId, pipelineId, stageId]);
}
