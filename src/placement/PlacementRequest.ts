import type { RouteStage } from '../directory/ServingConfiguration.ts';
import type { PromptPart } from '../ingress/CallerRequest.ts';
import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import type { LimitReport } from '../rates/PermitMessage.ts';

/** A stage result that stands already, at a request that another host had begun to place. */
export interface StandingResult {
  readonly stageIndex: number;
  readonly pieceIndex: number;
  readonly handle: string;
  /** Upstream that keeps it. */
  readonly makerId: UpstreamId;
  /** How much longer it is kept when nobody frees it. */
  readonly remainingTtlMs: number;
}

/** A generation that needs its stages done and an engine. Durations count from its sending. */
export interface PlacementDemand {
  readonly requestId: string;
  /** Whose engines may run it. */
  readonly poolId: PoolId;
  readonly stages: readonly RouteStage[];
  /** Pieces of each stage; 0 leaves the stage out. */
  readonly pieceCounts: readonly number[];
  /** What first stages work on. */
  readonly pieceKey: string;
  readonly parts: readonly PromptPart[];
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** Rank; 0 goes first. */
  readonly priority: number;
  /** Time left until its answer loses value; negative when that is past. */
  readonly onTimeMs: number;
  /** Time left until nobody waits any more. */
  readonly remainingMs: number;
  /** Engines that have failed it before. */
  readonly excludedIds: readonly UpstreamId[];
  /** Whether it was placed before, so that its pieces may have been sent already. */
  readonly isPlacedAgain: boolean;
}

/** A generation on its way to the host that places for a group of failure domains. */
export interface PlacementRequest extends PlacementDemand {
  /** The group's failure domains. */
  readonly domains: readonly string[];
  /** What a host that placed before and left has handed over. */
  readonly standingResults: readonly StandingResult[];
  /** The host that asks, and sends. */
  readonly hostId: HostId;
  /** What it knows of the limits that engines of the pool name. */
  readonly limitReports: readonly LimitReport[];
}

/** By whose leave a request is sent to an engine that names a limit. */
export type PermitSource =
  /** That of the host that places. */
  | 'common'
  /** The reserve of the host that sends. */
  | 'reserve';

/** Why a placement is refused. */
export const REFUSAL = {
  /** It can't be done in the time that is left. */
  tooLate: 'too-late',
  /** All engines name limits, and others take up what is left of them. */
  limited: 'limited',
  /** No engine of the pool may be used. */
  noEngine: 'no-engine',
  /** The host that places is leaving or out of reach. */
  unreachable: 'unreachable',
} as const;

/** A member of {@link REFUSAL}. */
export type Refusal = typeof REFUSAL[keyof typeof REFUSAL];

/** What became of a placement. */
export type PlacementResult =
  | {
    readonly kind: 'placed';
    readonly upstreamId: UpstreamId;
    /** Handles of the results that the engine takes in. */
    readonly inputs: readonly string[];
    /** By which leave the engine gets it; null where it names no limit, as far as is known. */
    readonly leave: PermitSource | null;
    /** What the placing host knows of the engine's limit; empty when it never named one. */
    readonly limitReports: readonly LimitReport[];
  }
  | {
    readonly kind: 'refused';
    readonly reason: Refusal;
    /** When it is worth coming back. */
    readonly retryAfterMs: number;
  }
  | {
    /** The host that placed is leaving; the next one goes on from these results. */
    readonly kind: 'handedOver';
    readonly results: readonly StandingResult[];
    /** Whether pieces without a result were sent before. */
    readonly wereSent: boolean;
  };

/** What an entry host tells of a request that was placed. */
export interface PlacementReport {
  readonly requestId: string;
  /** The engine that was chosen. */
  readonly upstreamId: UpstreamId;
  /**
   * `started`: the engine has read the prompt and fetched its inputs; `ended`: it is done;
   * `failed`: the engine broke off; `unreachable`: it could not be reached; `notTaken`: it did not
   * take the request. After the last two the request is placed again, and its results stand.
   */
  readonly kind: 'started' | 'ended' | 'failed' | 'unreachable' | 'notTaken';
}
