/** Measured load of a pipeline. */
export interface PipelineLoad {
  readonly pipelineId: string;
  /** Requests per second, summed over all entry hosts. */
  readonly requestsPerSecond: number;
}

/** An entry host that a plan may affect. */
export interface PlanHost {
  readonly hostId: string;
  readonly failureDomainId: string;
}

/** State of the running system that a plan is computed from, in addition to the configuration. */
export interface FleetState {
  /** Entry hosts that are currently known. */
  readonly hosts: readonly PlanHost[];
  /** Load by pipeline; a missing pipeline counts as having no load. */
  readonly loads: readonly PipelineLoad[];
  /** Maximum size of a value in the platform's key-value service, in bytes. */
  readonly maxValueBytes: number;
}

/** State of a system without known hosts and measurements. */
export const EMPTY_FLEET_STATE: FleetState = { hosts: [], loads: [], maxValueBytes: 1_000_000 };
