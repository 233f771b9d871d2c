/** State of an upstream as this host observes it. */
export interface UpstreamStatus {
  readonly upstreamId: string;
  readonly failureDomainId: string;
  readonly state: string;
  /** Maximum number of concurrent attempts that this host may send to the upstream. */
  readonly limit: number;
  readonly inFlightCount: number;
  readonly isDrained: boolean;
}

/** A pool and its upstreams. */
export interface PoolStatus {
  readonly poolId: string;
  readonly kind: string;
  readonly upstreams: readonly UpstreamStatus[];
}

/** State of an entry host as this host observes it. */
export interface MemberStatus {
  readonly hostId: string;
  readonly failureDomainId: string;
  readonly state: string;
  /** Configuration version that the member reported as in force. */
  readonly configurationVersion: number;
}

/** State of a failure domain. */
export interface FailureDomainStatus {
  readonly failureDomainId: string;
  readonly hostCount: number;
  readonly upstreamCount: number;
  readonly isDrained: boolean;
}

/** A host, upstream or failure domain that operators have taken out of service. */
export interface DrainStatus {
  readonly kind: string;
  readonly id: string;
}

/** Deadline attainment of a pipeline since the host's start. */
export interface AttainmentStatus {
  readonly pipelineId: string;
  readonly requestCount: number;
  readonly onTimeCount: number;
}

/** Latency of a stage since the host's start. */
export interface StageLatencyStatus {
  readonly pipelineId: string;
  readonly stageId: string;
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

/** Number of refusals with one code since the host's start. */
export interface RefusalStatus {
  readonly code: string;
  readonly count: number;
}

/** Cost booked for one stage (`pipeline/stage`) or one client account. */
export interface CostRow {
  readonly name: string;
  readonly attemptCount: number;
  /** Millionths of the billing currency. */
  readonly costMicros: number;
}

/** Status that a host reports to operators: its own state and what it knows of other hosts. */
export interface HostStatus {
  readonly hostId: string;
  readonly incarnationId: string;
  readonly failureDomainId: string;
  readonly isReady: boolean;
  /** Reason why the host is not ready; empty when it is ready. */
  readonly notReadyReason: string;
  readonly isPlatformReachable: boolean;
  readonly configurationVersion: number;
  readonly members: readonly MemberStatus[];
  readonly pools: readonly PoolStatus[];
  readonly failureDomains: readonly FailureDomainStatus[];
  readonly drains: readonly DrainStatus[];
  readonly attainment: readonly AttainmentStatus[];
  readonly stageLatencies: readonly StageLatencyStatus[];
  readonly costByStage: readonly CostRow[];
  readonly costByAccount: readonly CostRow[];
  readonly refusals: readonly RefusalStatus[];
}
