import type {
  AccountId, IncarnationId, PipelineId, StageId,
} from '../lib/ids.ts';

/** What the attempts of one stage cost one client account, summed by one incarnation. */
export interface CostRecord {
  readonly accountId: AccountId;
  readonly pipelineId: PipelineId;
  readonly stageId: StageId;
  readonly attemptCount: number;
  readonly costMicros: number;
}

/** The sums of one incarnation; they only grow, so that the larger of two copies is the newer. */
export interface IncarnationCosts {
  readonly incarnationId: IncarnationId;
  /** Unix time of the last growth. */
  readonly updatedAtMs: number;
  readonly records: readonly CostRecord[];
}

/** One platform value of the ledger, `cost/SHARD`. */
export interface CostShardValue {
  readonly incarnations: readonly IncarnationCosts[];
  /** Sums of incarnations that ended long ago. */
  readonly settled: readonly CostRecord[];
  /** Which incarnations are in `settled`, newest last; their late reports are passed over. */
  readonly settledIncarnationIds: readonly IncarnationId[];
}

/** A shard without cost. */
export const EMPTY_COST_SHARD: CostShardValue = {
  incarnations: [], settled: [], settledIncarnationIds: [],
};

/**
 * @param record - a record
 * @returns the key under which sums are kept
 */
export function getCostKey(
  { accountId, pipelineId, stageId }: Pick<CostRecord, 'accountId' | 'pipelineId' | 'stageId'>,
): string {
  return JSON.stringify([accountId, pipelineId, stageId]);
}
