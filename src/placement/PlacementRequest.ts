import type { RouteStage } from '../directory/ServingConfiguration.ts';
import type { PromptPart } from '../ingress/CallerRequest.ts';
import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import type { QuotaSource } from '../quotas/QuotaBorrower.ts';
import type { LimitReport } from '../rates/PermitMessage.ts';
import type { OpenGeneration } from './OpenGeneration.ts';

/** An existing stage result of a request that another coordinator had begun to place. */
export interface StandingResult {
  readonly stageIndex: number;
  readonly pieceIndex: number;
  readonly handle: string;
  /** Upstream that stores it. */
  readonly makerId: UpstreamId;
  /** Time until it expires unless it is released. */
  readonly remainingTtlMs: number;
}

/** A generation that needs its stages and an engine. Durations count from the time of sending. */
export interface PlacementDemand {
  readonly requestId: string;
  /** Client account; null when requests carry no keys, and from hosts of an earlier version. */
  readonly account: string | null;
  /** Kind of request: the name of its route; empty from hosts of an earlier version. */
  readonly kind: string;
  /** Pool of the engines that may run it. */
  readonly poolId: PoolId;
  readonly stages: readonly RouteStage[];
  /** Number of pieces of each stage; 0 skips the stage. */
  readonly pieceCounts: readonly number[];
  /** Key of the input for stages that depend on no other stage. */
  readonly pieceKey: string;
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Priority class; 0 is the most urgent. */
  readonly priority: number;
  /** Time left to its latency target; negative after that. */
  readonly onTimeMs: number;
  /** Time left to its deadline. */
  readonly remainingMs: number;
  /** Engines on which it has failed. */
  readonly excludedIds: readonly UpstreamId[];
  /** Software version that the engine must have; null for any. */
  readonly softwareVersion: string | null;
  /** Whether it was placed before, so that its pieces may have been sent. */
  readonly isPlacedAgain: boolean;
}

/** A request to the coordinator of a placement group. */
export interface PlacementRequest extends PlacementDemand {
  /** The group's failure domains. */
  readonly domains: readonly string[];
  /** Results handed over by an earlier coordinator that has left. */
  readonly standingResults: readonly StandingResult[];
  /** The entry host that requests the placement and sends to the engine. */
  readonly hostId: HostId;
  /** The limits of engines of the pool that this host knows. */
  readonly limitReports: readonly LimitReport[];
  /** Generations that this host has open at engines of the group and that others have placed. */
  readonly openGenerations: readonly OpenGeneration[];
}

/** The origin of the permit to send a request to an engine that advertises a limit. */
export type PermitSource =
  /** A shared permit, given by the placement coordinator. */
  | 'common'
  /** The reserve of the host that sends the request. */
  | 'reserve';

/** Reasons to refuse a placement. */
export const REFUSAL = {
  /** The request can't be done in the remaining time. */
  tooLate: 'too-late',
  /** It would be late, and its client account has taken more than its share of a scarce pool. */
  overShare: 'over-share',
  /** All engines advertise limits, and no permit is left for this request. */
  limited: 'limited',
  /** No engine of the pool may be used. */
  noEngine: 'no-engine',
  /** The request exceeds the memory of an engine. */
  tooLarge: 'too-large',
  /** Its pieces exceed what the coordinator may hold, alone or beside those of other requests. */
  tooManyPieces: 'too-many-pieces',
  /** The upstreams of a stage broke off each call with one of its pieces. */
  brokenCalls: 'broken-calls',
  /** Several coordinators were lost while they had it. */
  coordinatorsLost: 'coordinators-lost',
  /** The coordinator is leaving or unreachable. */
  unreachable: 'unreachable',
} as const;

/** A member of {@link REFUSAL}. */
export type Refusal = typeof REFUSAL[keyof typeof REFUSAL];

/** The result of a placement. */
export type PlacementResult =
  | {
    readonly kind: 'placed';
    readonly upstreamId: UpstreamId;
    /** Handles of the results that are inputs of the engine. */
    readonly inputs: readonly string[];
    /** Origin of the permit; null if the engine has no known limit. */
    readonly leave: PermitSource | null;
    /** The engine's limit as known to the coordinator; empty if it never advertised one. */
    readonly limitReports: readonly LimitReport[];
    /** Whose quota it uses; null without a cold start limit, absent from earlier versions. */
    readonly quota?: QuotaSource | null;
    /** Time from the arrival of the request at the coordinator to this decision. */
    readonly heldMs?: number;
  }
  | {
    readonly kind: 'refused';
    readonly reason: Refusal;
    /** Time after which a retry may succeed. */
    readonly retryAfterMs: number;
  }
  | {
    /** The coordinator is leaving; the next one continues with these results. */
    readonly kind: 'handedOver';
    readonly results: readonly StandingResult[];
    /** Whether any piece without a result was sent. */
    readonly wereSent: boolean;
  };

/** A report of an entry host on the progress of a placed request. */
export interface PlacementReport {
  readonly requestId: string;
  /** The engine that was chosen. */
  readonly upstreamId: UpstreamId;
  /**
   * `started`: the engine has processed the prompt and fetched its inputs; `ended`: the generation
   * is over; `failed`: the engine failed during it; `unreachable`: the engine could not be reached;
   * `notTaken`: it did not accept the request. After the last two the request is placed again and
   * keeps its results.
   */
  readonly kind: 'started' | 'ended' | 'failed' | 'unreachable' | 'notTaken';
  /** Number of generations that run or wait at the engine; absent when the engine told none. */
  readonly heldCount?: number;
  /** Time that work takes at the engine at this moment, 1 as usual; absent when it told none. */
  readonly workTimeFactor?: number;
}
