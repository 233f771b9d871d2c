/** Measured load of a pipeline. */
export interface PipelineLoad {
  readonly pipelineId: string;
  /** Requests a second, over all entry hosts. */
  readonly requestsPerSecond: number;
}

/** An entry host that a plan may touch. */
export interface PlanHost {
  readonly hostId: string;
  readonly failureDomainId: string;
}

/** What a plan takes from the running system, beside the configuration. */
export interface FleetState {
  /** Entry hosts that are known now. */
  readonly hosts: readonly PlanHost[];
  /** Load to plan for; a pipeline that is missing counts as unloaded. */
  readonly loads: readonly PipelineLoad[];
  /** Largest value that the platform stores, in bytes. */
  readonly maxValueBytes: number;
}

/** Facts of a system that was not measured yet. */
export const EMPTY_FLEET_STATE: FleetState = { hosts: [], loads: [], maxValueBytes: 1_000_000 };
