import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import type { PlanId } from '../lib/ids.ts';

/** A proposed change, to be confirmed against the version it was made for. */
export interface Plan {
  readonly planId: PlanId;
  readonly baseVersion: number;
  /** The whole configuration once the plan is accepted. */
  readonly configuration: ConfigurationRecord;
  /** What changes, one line each. */
  readonly changes: readonly string[];
  /** Accounts, pipelines and pools that the change touches, one line each. */
  readonly affected: readonly string[];
  /** Why the intent can't be met as it stands; a plan with conflicts can't be confirmed. */
  readonly conflicts: readonly string[];
  /** Fraction of requests expected to meet their deadline, by pipeline. */
  readonly predictedAttainment: readonly PipelineAttainment[];
  /** Expected cost of one request, by pipeline. */
  readonly predictedCosts: readonly PipelineCost[];
}

/** Predicted deadline attainment of a pipeline. */
export interface PipelineAttainment {
  readonly pipelineId: string;
  readonly fraction: number;
}

/** Predicted cost of one request of a pipeline. */
export interface PipelineCost {
  readonly pipelineId: string;
  readonly costMicros: number;
}
