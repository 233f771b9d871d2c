import type { PoolId } from '../lib/ids.ts';

/** How often one client attempt on a route may run. */
export const EXECUTION_SEMANTICS = {
  /** May run any number of times. */
  repeatable: 'repeatable',
  /** Runs at most once. */
  once: 'once',
} as const;

/** A member of {@link EXECUTION_SEMANTICS}. */
export type ExecutionSemantics = typeof EXECUTION_SEMANTICS[keyof typeof EXECUTION_SEMANTICS];

/** Work that must be done in batches before a request can run. */
export interface RouteStage {
  /** Whose upstreams do the work. */
  readonly poolId: PoolId;
  /** Indexes of the stages whose results it needs. */
  readonly after: readonly number[];
  /** Approximate size of one result. */
  readonly resultBytes: number;
}

/** One of several pools that share a route's requests. */
export interface RouteTarget {
  readonly poolId: PoolId;
  /** Share of the requests, relative to the other targets. */
  readonly weight: number;
}

/** Which requests go where, and what they are promised. */
export interface ServingRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly executionSemantics: ExecutionSemantics;
  /** Whether the answer is a stream of events. */
  readonly isStream: boolean;
  /** Whether a broken stream may go on at another upstream. */
  readonly isResumable: boolean;
  /** Longest time a request is kept waiting. */
  readonly timeoutMs: number;
  /** Time within which an answer has its full value. */
  readonly targetLatencyMs: number;
  /** Longest pause between two events of a stream that is on time. */
  readonly gapTargetMs: number;
  /** Rank; 0 goes first. */
  readonly priority: number;
  /** Most upstreams that may run one client attempt. */
  readonly maxAttempts: number;
  readonly targets: readonly RouteTarget[];
  readonly stages: readonly RouteStage[];
  /** Whether requests need no key. */
  readonly isPublic: boolean;
}

/** How the upstreams of a pool work on batches. Each figure is for one upstream. */
export interface BatchLimits {
  /** Calls worked on at the same time. */
  readonly callSlots: number;
  /** Most pieces in one call. */
  readonly maxPieces: number;
  /** Time a call takes before its first piece. */
  readonly callMs: number;
  /** Approximate time a piece adds. */
  readonly pieceMs: number;
  /** Space for results that are not freed yet. */
  readonly roomBytes: number;
  /** How long a result is kept when nobody frees it. */
  readonly resultTtlMs: number;
}

/** What a model engine holds. */
export interface EngineLimits {
  /** Generations in one batch. */
  readonly slots: number;
  /** Memory for prompts, running and cached. */
  readonly memoryTokens: number;
}

/** A set of upstreams that do the same work. */
export interface ServingPool {
  readonly id: PoolId;
  readonly healthPath: string;
  /** Connections one upstream accepts from all hosts together. */
  readonly maxConnections: number;
  /** Requests a second that a cold upstream bears from all hosts together; 0 for no bound. */
  readonly coldRequestsPerSecond: number;
  readonly batch: BatchLimits | null;
  readonly engine: EngineLimits | null;
}

/** Who is behind a key. */
export interface ServingAccount {
  readonly name: string;
  /** Goes before the route's priority; null leaves that in force. */
  readonly priority: number | null;
}

/** What callers may send and how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of all that operators decide. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly ServingRoute[];
  readonly pools: ReadonlyMap<PoolId, ServingPool>;
  /** Null when requests carry no keys. */
  readonly accountsByKey: ReadonlyMap<string, ServingAccount> | null;
  readonly callerLimits: CallerLimits;
}
