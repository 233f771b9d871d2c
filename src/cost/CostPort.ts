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

/** Where the core books what attempts cost; an attempt that was booked before is passed over. */
export interface CostPort {
  book(cost: AttemptCost): void;
}
