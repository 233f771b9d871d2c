import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import type { PlanId } from '../lib/ids.ts';

/** A proposed change; it can be confirmed only while its base version is current. */
export interface Plan {
  readonly planId: PlanId;
  readonly baseVersion: number;
  /** The whole configuration once the plan is accepted. */
  readonly configuration: ConfigurationRecord;
  /** Changes to the configuration, one line each. */
  readonly changes: readonly string[];
  /** Hosts, pools, pipelines and accounts that the change affects, one line each. */
  readonly affected: readonly string[];
  /** Reasons why the intent can't be fulfilled; a plan with conflicts can't be confirmed. */
  readonly conflicts: readonly string[];
  /** Predicted fraction of requests that meet their deadline, by pipeline. */
  readonly predictedAttainment: readonly PipelineAttainment[];
  /** Predicted cost of one request, by pipeline. */
  readonly predictedCosts: readonly PipelineCost[];
}

/** Predicted fraction of a pipeline's requests that meet their deadline. */
export interface PipelineAttainment {
  readonly pipelineId: string;
  readonly fraction: number;
}

/** Predicted cost of one request of a pipeline. */
export interface PipelineCost {
  readonly pipelineId: string;
  readonly costMicros: number;
}
