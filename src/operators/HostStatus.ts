/** State of one upstream as this host sees it. */
export interface UpstreamStatus {
  readonly upstreamId: string;
  readonly failureDomainId: string;
  readonly state: string;
  /** Concurrent attempts that this host may send to it. */
  readonly limit: number;
  readonly inFlightCount: number;
  readonly isDrained: boolean;
}

/** One pool with its upstreams. */
export interface PoolStatus {
  readonly poolId: string;
  readonly kind: string;
  readonly upstreams: readonly UpstreamStatus[];
}

/** One entry host as this host knows it. */
export interface MemberStatus {
  readonly hostId: string;
  readonly failureDomainId: string;
  readonly state: string;
  /** Configuration version that the member reported in force. */
  readonly configurationVersion: number;
}

/** One failure domain. */
export interface FailureDomainStatus {
  readonly failureDomainId: string;
  readonly hostCount: number;
  readonly upstreamCount: number;
  readonly isDrained: boolean;
}

/** Something that operators have taken out of service. */
export interface DrainStatus {
  readonly kind: string;
  readonly id: string;
}

/** Requests of a pipeline that met their deadline, since the host's start. */
export interface AttainmentStatus {
  readonly pipelineId: string;
  readonly requestCount: number;
  readonly onTimeCount: number;
}

/** Latency of a stage, since the host's start. */
export interface StageLatencyStatus {
  readonly pipelineId: string;
  readonly stageId: string;
  readonly count: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

/** Refusals of one code, since the host's start. */
export interface RefusalStatus {
  readonly code: string;
  readonly count: number;
}

/** Cost booked under one name: a stage (`pipeline/stage`) or an account. */
export interface CostRow {
  readonly name: string;
  readonly attemptCount: number;
  /** Millionths of the billing currency. */
  readonly costMicros: number;
}

/** What a host tells operators about itself and what it knows of the others. */
export interface HostStatus {
  readonly hostId: string;
  readonly incarnationId: string;
  readonly failureDomainId: string;
  readonly isReady: boolean;
  /** Why the host is not ready; empty when it is. */
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
