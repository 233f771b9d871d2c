import type { KnownHost } from '../directory/HostEntry.ts';
import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import type { LimitReport } from '../rates/PermitMessage.ts';
import type { Clock } from '../time/Clock.ts';
import { isConnectError } from '../upstreams/isConnectError.ts';
import { CoordinatorStatusError } from './CoordinatorStatusError.ts';
import type { OpenGeneration } from './OpenGeneration.ts';
import type { PlacementGroup } from './PlacementGroup.ts';
import {
  REFUSAL, type PlacementDemand, type PlacementReport, type PlacementRequest, type PlacementResult,
  type Refusal, type StandingResult,
} from './PlacementRequest.ts';

/** The final result of a placement, after any handover. */
export type FinalPlacementResult =
  | Extract<PlacementResult, { kind: 'refused' }>
  | (Extract<PlacementResult, { kind: 'placed' }> & {
    /** Time at or before the coordinator's decision. */
    readonly grantedAtMs: number;
  });

/** What an engine has told of its load in an answer. */
export type ToldLoad = Pick<PlacementReport, 'heldCount' | 'workTimeFactor'>;

/** A placement in progress. */
export interface RunningPlacement {
  readonly result: Promise<FinalPlacementResult>;
  /** Withdraws the request. */
  cancel(): void;
  /**
   * Reports the progress of the request to the coordinator that placed it.
   *
   * @param kind - see {@link PlacementReport}
   * @param upstreamId - the engine that was chosen
   * @param load - what the engine has told of its load
   */
  report(kind: PlacementReport['kind'], upstreamId: UpstreamId, load: ToldLoad): void;
}

/** A pending query to a coordinator. */
export interface PlacementQuery {
  readonly result: Promise<PlacementResult>;
  withdraw(): void;
}

/** How a search reaches the placement coordinators; a null coordinator is this host. */
export interface CoordinatorAccess {
  /** This host. */
  readonly hostId: HostId;
  /** Returns the limits of a pool's upstreams that this host knows. */
  createLimitReports(poolId: PoolId): LimitReport[];
  /** Applies the limits that a coordinator has reported. */
  applyLimitReports(
    coordinator: KnownHost | null, reports: readonly LimitReport[] | undefined,
  ): void;
  /** Lists what this host has open at the group's engines and other coordinators have placed. */
  listPlacedByOthers(
    coordinator: KnownHost | null, poolId: PoolId, group: PlacementGroup,
  ): OpenGeneration[];
  /** Records that a coordinator has chosen an engine for a request. */
  recordPlaced(
    coordinator: KnownHost | null, request: PlacementRequest, upstreamId: UpstreamId,
  ): void;
  choose(group: PlacementGroup): KnownHost | null;
  /** Whether this host hands over its own placements. */
  isOwnCoordinatorLeaving(): boolean;
  query(coordinator: KnownHost | null, request: PlacementRequest): PlacementQuery;
  recordFailure(coordinator: KnownHost, detail: string): void;
  /** Records that a request is given up, since coordinators were lost while they had it. */
  recordAbandoned(requestId: string, lostIds: readonly HostId[]): void;
  recordLeaving(coordinator: KnownHost | null): void;
  report(coordinator: KnownHost | null, report: PlacementReport): void;
}

/**
 * Coordinators that may be lost while they have a request. One is lost by chance; a request that
 * ends the hosts that place it must not reach them all, this one last.
 */
const MAX_LOST_COORDINATORS = 2;

function createRefusal(reason: Refusal): FinalPlacementResult {
  return { kind: 'refused', reason, retryAfterMs: 0 };
}

/** Places one demand: queries coordinators in turn until one of them decides. */
export class PlacementSearch implements RunningPlacement {
  readonly #clock: Clock;

  readonly #coordinators: CoordinatorAccess;

  readonly #demand: PlacementDemand;

  readonly #groups: PlacementGroup[];

  readonly #startedAtMs: number;

  #coordinator: KnownHost | null = null;

  #query: PlacementQuery | null = null;

  #standingResults: readonly StandingResult[] = [];

  /** Whether a coordinator that was queried before may have sent pieces. */
  #isPlacedAgain: boolean;

  /** Coordinators that were lost after the request had been sent to them. */
  readonly #lostIds: HostId[] = [];

  #isCancelled = false;

  readonly result: Promise<FinalPlacementResult>;

  /**
   * @param clock - the source of the current time
   * @param coordinators - the hosts that place
   * @param demand - the demand to place
   * @param groups - the groups to query in turn while they refuse, at least one
   */
  constructor(
    clock: Clock,
    coordinators: CoordinatorAccess,
    demand: PlacementDemand,
    groups: readonly PlacementGroup[],
  ) {
    this.#clock = clock;
    this.#coordinators = coordinators;
    this.#demand = demand;
    this.#groups = [...groups];
    this.#startedAtMs = clock.getMonotonicMs();
    this.#isPlacedAgain = demand.isPlacedAgain;
    this.result = this.#run();
  }

  /** @inheritdoc */
  cancel(): void {
    this.#isCancelled = true;
    this.#query?.withdraw();
  }

  /** @inheritdoc */
  report(kind: PlacementReport['kind'], upstreamId: UpstreamId, load: ToldLoad): void {
    this.#coordinators.report(this.#coordinator, {
      ...load, requestId: this.#demand.requestId, upstreamId, kind,
    });
  }

  /** Queries the groups in turn while they refuse. */
  async #run(): Promise<FinalPlacementResult> {
    const group = this.#groups.shift();
    const result = group === undefined
      ? createRefusal(REFUSAL.noEngine)
      : await this.#queryGroup(group);
    const mayContinue = !this.#isCancelled && this.#lostIds.length < MAX_LOST_COORDINATORS;
    return result.kind === 'refused' && mayContinue && this.#groups.length > 0
      ? this.#run()
      : result;
  }

  /** Queries the group's coordinators until one decides. */
  async #queryGroup(group: PlacementGroup): Promise<FinalPlacementResult> {
    for (;;) {
      // eslint-disable-next-line no-await-in-loop -- a host is queried after the last one failed
      const result = await this.#queryCoordinator(group);
      if (result !== null) {
        return result;
      }
      if (this.#isCancelled) {
        return createRefusal(REFUSAL.unreachable);
      }
      if (this.#lostIds.length >= MAX_LOST_COORDINATORS) {
        this.#coordinators.recordAbandoned(this.#demand.requestId, this.#lostIds);
        return createRefusal(REFUSAL.coordinatorsLost);
      }
    }
  }

  /** @returns the decision of the group's coordinator; null when another one is to be queried */
  async #queryCoordinator(group: PlacementGroup): Promise<FinalPlacementResult | null> {
    const coordinators = this.#coordinators;
    const coordinator = coordinators.choose(group);
    this.#coordinator = coordinator;
    if (coordinator === null && coordinators.isOwnCoordinatorLeaving()) {
      return createRefusal(REFUSAL.unreachable);
    }
    const request = this.#createRequest(group, coordinator);
    const sentAtMs = this.#clock.getMonotonicMs();
    this.#query = coordinators.query(coordinator, request);
    try {
      const result = await this.#query.result;
      if (result.kind === 'placed') {
        coordinators.applyLimitReports(coordinator, result.limitReports);
        coordinators.recordPlaced(coordinator, request, result.upstreamId);
        return { ...result, grantedAtMs: sentAtMs + (result.heldMs ?? 0) };
      }
      if (result.kind === 'handedOver') {
        this.#standingResults = result.results;
        this.#isPlacedAgain ||= result.wereSent;
        coordinators.recordLeaving(coordinator);
        return null;
      }
      return result;
    } catch (error) {
      if (this.#isCancelled || coordinator === null || request.remainingMs <= 0) {
        return createRefusal(REFUSAL.unreachable);
      }
      coordinators.recordFailure(coordinator, String(error));
      if (!isConnectError(error) && !(error instanceof CoordinatorStatusError)) {
        this.#lostIds.push(coordinator.id);
      }
      // The failed coordinator may have sent pieces, and may send more.
      this.#isPlacedAgain = true;
      return null;
    }
  }

  #createRequest(group: PlacementGroup, coordinator: KnownHost | null): PlacementRequest {
    const { poolId } = this.#demand;
    const elapsedMs = this.#clock.getMonotonicMs() - this.#startedAtMs;
    return {
      ...this.#demand,
      domains: group.domains,
      standingResults: this.#standingResults,
      hostId: this.#coordinators.hostId,
      limitReports: this.#coordinators.createLimitReports(poolId),
      openGenerations: this.#coordinators.listPlacedByOthers(coordinator, poolId, group),
      isPlacedAgain: this.#isPlacedAgain,
      onTimeMs: this.#demand.onTimeMs - elapsedMs,
      remainingMs: this.#demand.remainingMs - elapsedMs,
    };
  }
}
