import type {
  AccountId, AttemptId, PipelineId, StageId,
} from '../lib/ids.ts';

/** The cost of one attempt. */
export interface AttemptCost {
  readonly attemptId: AttemptId;
  readonly accountId: AccountId;
  readonly pipelineId: PipelineId;
  readonly stageId: StageId;
  readonly costMicros: number;
}

/** Interface through which the core books costs; booking an attempt again has no effect. */
export interface CostPort {
  book(cost: AttemptCost): void;
}
