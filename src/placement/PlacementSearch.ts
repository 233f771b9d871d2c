import type { HostEntry } from '../directory/HostEntry.ts';
import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import type { LimitReport } from '../rates/PermitMessage.ts';
import type { Clock } from '../time/Clock.ts';
import type { PlacementGroup } from './PlacementGroup.ts';
import {
  REFUSAL, type PlacementDemand, type PlacementReport, type PlacementRequest, type PlacementResult,
  type Refusal, type StandingResult,
} from './PlacementRequest.ts';

/** What becomes of a placement in the end; it may have been handed over before. */
export type FinalPlacementResult = Exclude<PlacementResult, { kind: 'handedOver' }>;

/** A placement that is under way. */
export interface RunningPlacement {
  readonly result: Promise<FinalPlacementResult>;
  /** Withdraws the request. */
  cancel(): void;
  /**
   * Tells who placed it how the request goes on.
   *
   * @param kind - see {@link PlacementReport}
   * @param upstreamId - the engine that was chosen
   */
  report(kind: PlacementReport['kind'], upstreamId: UpstreamId): void;
}

/** A question to a placing host that is out. */
export interface PlacementQuery {
  readonly result: Promise<PlacementResult>;
  withdraw(): void;
}

/** How a course reaches the hosts that place; null stands for this host. */
export interface CoordinatorAccess {
  /** This host. */
  readonly hostId: HostId;
  /** What it knows now of the limits that upstreams of a pool name. */
  createLimitReports(poolId: PoolId): LimitReport[];
  /** Takes in what a placing host knows of them; null stands for this host. */
  applyLimitReports(placer: HostEntry | null, reports: readonly LimitReport[] | undefined): void;
  choose(group: PlacementGroup): HostEntry | null;
  /** Whether this host hands its own placements over. */
  isOwnCoordinatorLeaving(): boolean;
  query(placer: HostEntry | null, request: PlacementRequest): PlacementQuery;
  recordFailure(placer: HostEntry, detail: string): void;
  recordLeaving(placer: HostEntry | null): void;
  report(placer: HostEntry | null, note: PlacementReport): void;
}

function createRefusal(reason: Refusal): FinalPlacementResult {
  return { kind: 'refused', reason, retryAfterMs: 0 };
}

/** The course of one demand: placing hosts are asked in turn until one of them decides. */
export class PlacementSearch implements RunningPlacement {
  readonly #clock: Clock;

  readonly #coordinators: CoordinatorAccess;

  readonly #demand: PlacementDemand;

  readonly #groups: PlacementGroup[];

  readonly #startedAtMs: number;

  #coordinator: HostEntry | null = null;

  #query: PlacementQuery | null = null;

  #standingResults: readonly StandingResult[] = [];

  /** Whether pieces may have been sent already, by whoever was asked before. */
  #isPlacedAgain: boolean;

  #isCancelled = false;

  readonly result: Promise<FinalPlacementResult>;

  /**
   * @param clock - the time
   * @param peers - the hosts that place
   * @param demand - what is to be placed
   * @param groups - the groups that are asked in turn while they refuse, at least one
   */
  constructor(
    clock: Clock,
    peers: CoordinatorAccess,
    demand: PlacementDemand,
    groups: readonly PlacementGroup[],
  ) {
    this.#clock = clock;
    this.#coordinators = peers;
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
  report(kind: PlacementReport['kind'], upstreamId: UpstreamId): void {
    this.#coordinators.report(this.#coordinator, { requestId: this.#demand.requestId, upstreamId, kind });
  }

  /** Asks the groups in turn while they refuse. */
  async #run(): Promise<FinalPlacementResult> {
    const group = this.#groups.shift();
    const result = group === undefined
      ? createRefusal(REFUSAL.noEngine)
      : await this.#queryGroup(group);
    return result.kind === 'refused' && !this.#isCancelled && this.#groups.length > 0
      ? this.#run()
      : result;
  }

  /** Asks the group's placing hosts until one decides. */
  async #queryGroup(group: PlacementGroup): Promise<FinalPlacementResult> {
    for (;;) {
      // eslint-disable-next-line no-await-in-loop -- the next host is asked when this one is lost
      const result = await this.#queryCoordinator(group);
      if (result !== null) {
        return result;
      }
      if (this.#isCancelled) {
        return createRefusal(REFUSAL.unreachable);
      }
    }
  }

  /** @returns what the group's placing host decided; null when another one is to be asked */
  async #queryCoordinator(group: PlacementGroup): Promise<FinalPlacementResult | null> {
    const peers = this.#coordinators;
    const placer = peers.choose(group);
    this.#coordinator = placer;
    if (placer === null && peers.isOwnCoordinatorLeaving()) {
      return createRefusal(REFUSAL.unreachable);
    }
    const request = this.#createRequest(group);
    this.#query = peers.query(placer, request);
    try {
      const result = await this.#query.result;
      if (result.kind === 'placed') {
        peers.applyLimitReports(placer, result.limitReports);
      }
      if (result.kind === 'handedOver') {
        this.#standingResults = result.results;
        this.#isPlacedAgain ||= result.wereSent;
        peers.recordLeaving(placer);
        return null;
      }
      return result;
    } catch (error) {
      if (this.#isCancelled || placer === null || request.remainingMs <= 0) {
        return createRefusal(REFUSAL.unreachable);
      }
      peers.recordFailure(placer, String(error));
      // The host that was asked may have sent pieces, and may go on.
      this.#isPlacedAgain = true;
      return null;
    }
  }

  #createRequest(group: PlacementGroup): PlacementRequest {
    const elapsedMs = this.#clock.getMonotonicMs() - this.#startedAtMs;
    return {
      ...this.#demand,
      domains: group.domains,
      standingResults: this.#standingResults,
      hostId: this.#coordinators.hostId,
      limitReports: this.#coordinators.createLimitReports(this.#demand.poolId),
      isPlacedAgain: this.#isPlacedAgain,
      onTimeMs: this.#demand.onTimeMs - elapsedMs,
      remainingMs: this.#demand.remainingMs - elapsedMs,
    };
  }
}
