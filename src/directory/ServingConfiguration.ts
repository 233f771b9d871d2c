import type { PoolId } from '../lib/ids.ts';

/** Number of times that one client attempt on a route may be executed. */
export const EXECUTION_SEMANTICS = {
  /** May be executed any number of times, so that a retry is safe. */
  repeatable: 'repeatable',
  /** Is executed at most once. */
  once: 'once',
} as const;

/** A member of {@link EXECUTION_SEMANTICS}. */
export type ExecutionSemantics = typeof EXECUTION_SEMANTICS[keyof typeof EXECUTION_SEMANTICS];

/** Batched work that a request needs before it can be executed. */
export interface RouteStage {
  /** Pool whose upstreams do the work. */
  readonly poolId: PoolId;
  /** Indexes of the stages whose results this stage needs. */
  readonly after: readonly number[];
  /** Approximate size of one result. */
  readonly resultBytes: number;
}

/** One of several pools among which a route's requests are split. */
export interface RouteTarget {
  readonly poolId: PoolId;
  /** Share of the requests, relative to the other targets. */
  readonly weight: number;
}

/** Routing rule: the requests that it matches, their pools and their service objectives. */
export interface ServingRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly executionSemantics: ExecutionSemantics;
  /** Whether the answer is a stream of events. */
  readonly isStream: boolean;
  /** Whether an interrupted stream may be resumed at another upstream. */
  readonly isResumable: boolean;
  /** Longest time that a request waits. */
  readonly timeoutMs: number;
  /** Latency up to which an answer counts as on time. */
  readonly targetLatencyMs: number;
  /** Longest gap between two events of a stream that counts as on time. */
  readonly gapTargetMs: number;
  /** Time without an event, also before the first one, after which callers abandon a stream. */
  readonly callerPatienceMs: number;
  /** Priority class; 0 is the highest. */
  readonly priority: number;
  /** Largest number of upstreams that may execute one client attempt. */
  readonly maxAttempts: number;
  readonly targets: readonly RouteTarget[];
  readonly stages: readonly RouteStage[];
  /** Whether requests are accepted without a caller key. */
  readonly isPublic: boolean;
}

/** Batching limits of a pool. Each figure applies to one upstream. */
export interface BatchLimits {
  /** Calls that an upstream processes concurrently. */
  readonly callSlots: number;
  /** Largest number of pieces in one call. */
  readonly maxPieces: number;
  /** Fixed duration of a call, before its first piece. */
  readonly callMs: number;
  /** Approximate duration that each piece adds. */
  readonly pieceMs: number;
  /** Memory for results that are not released yet. */
  readonly roomBytes: number;
  /** Time after which a result that no host released expires. */
  readonly resultTtlMs: number;
}

/** Capacity of a model engine. */
export interface EngineLimits {
  /** Largest number of generations in one batch. */
  readonly slots: number;
  /** Memory for the prompts of running generations and for cached prompts. */
  readonly memoryTokens: number;
}

/** A set of interchangeable upstreams. */
export interface ServingPool {
  readonly id: PoolId;
  readonly healthPath: string;
  /** Connections that one upstream accepts, summed over all hosts. */
  readonly maxConnections: number;
  /** Requests per second that a cold upstream accepts, summed over all hosts; 0: no bound. */
  readonly coldRequestsPerSecond: number;
  readonly batch: BatchLimits | null;
  readonly engine: EngineLimits | null;
}

/** Client account that a caller key belongs to. */
export interface ServingAccount {
  readonly name: string;
  /** Overrides the route's priority; null keeps the route's priority. */
  readonly priority: number | null;
}

/** Size and time limits on the requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration that operators manage. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly ServingRoute[];
  readonly pools: ReadonlyMap<PoolId, ServingPool>;
  /** Null when requests carry no caller keys. */
  readonly accountsByKey: ReadonlyMap<string, ServingAccount> | null;
  readonly callerLimits: CallerLimits;
  /** This version in the encoding of the store, to be given to other hosts; absent if unknown. */
  readonly encoded?: string;
}
