import type { HostEntry } from '../directory/HostEntry.ts';
import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import type { LimitReport } from '../rates/PermitMessage.ts';
import type { Clock } from '../time/Clock.ts';
import type { PlacementGroup } from './PlacementGroup.ts';
import {
  REFUSAL, type PlacementDemand, type PlacementNote, type PlacementRequest, type PlacementResult,
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
   * @param kind - see {@link PlacementNote}
   * @param upstreamId - the engine that was chosen
   */
  note(kind: PlacementNote['kind'], upstreamId: UpstreamId): void;
}

/** A question to a placing host that is out. */
export interface PlacementQuestion {
  readonly result: Promise<PlacementResult>;
  withdraw(): void;
}

/** How a course reaches the hosts that place; null stands for this host. */
export interface PlacementPeers {
  /** This host. */
  readonly hostId: HostId;
  /** What it knows now of the limits that upstreams of a pool name. */
  createLimitReports(poolId: PoolId): LimitReport[];
  /** Takes in what a placing host knows of them; null stands for this host. */
  takeLimitReports(placer: HostEntry | null, reports: readonly LimitReport[] | undefined): void;
  choose(group: PlacementGroup): HostEntry | null;
  /** Whether this host hands its own placements over. */
  isOwnDeskLeaving(): boolean;
  ask(placer: HostEntry | null, request: PlacementRequest): PlacementQuestion;
  noteFailure(placer: HostEntry, detail: string): void;
  noteLeaving(placer: HostEntry | null): void;
  note(placer: HostEntry | null, note: PlacementNote): void;
}

function createRefusal(reason: Refusal): FinalPlacementResult {
  return { kind: 'refused', reason, retryAfterMs: 0 };
}

/** The course of one demand: placing hosts are asked in turn until one of them decides. */
export class PlacementCourse implements RunningPlacement {
  readonly #clock: Clock;

  readonly #peers: PlacementPeers;

  readonly #demand: PlacementDemand;

  readonly #groups: PlacementGroup[];

  readonly #startedAtMs: number;

  #placer: HostEntry | null = null;

  #question: PlacementQuestion | null = null;

  #standing: readonly StandingResult[] = [];

  /** Whether pieces may have been sent already, by whoever was asked before. */
  #isAskedAgain: boolean;

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
    peers: PlacementPeers,
    demand: PlacementDemand,
    groups: readonly PlacementGroup[],
  ) {
    this.#clock = clock;
    this.#peers = peers;
    this.#demand = demand;
    this.#groups = [...groups];
    this.#startedAtMs = clock.getMonotonicMs();
    this.#isAskedAgain = demand.isPlacedAgain;
    this.result = this.#run();
  }

  /** @inheritdoc */
  cancel(): void {
    this.#isCancelled = true;
    this.#question?.withdraw();
  }

  /** @inheritdoc */
  note(kind: PlacementNote['kind'], upstreamId: UpstreamId): void {
    this.#peers.note(this.#placer, { requestId: this.#demand.requestId, upstreamId, kind });
  }

  /** Asks the groups in turn while they refuse. */
  async #run(): Promise<FinalPlacementResult> {
    const group = this.#groups.shift();
    const result = group === undefined
      ? createRefusal(REFUSAL.noEngine)
      : await this.#askGroup(group);
    return result.kind === 'refused' && !this.#isCancelled && this.#groups.length > 0
      ? this.#run()
      : result;
  }

  /** Asks the group's placing hosts until one decides. */
  async #askGroup(group: PlacementGroup): Promise<FinalPlacementResult> {
    for (;;) {
      // eslint-disable-next-line no-await-in-loop -- the next host is asked when this one is lost
      const result = await this.#askOne(group);
      if (result !== null) {
        return result;
      }
      if (this.#isCancelled) {
        return createRefusal(REFUSAL.unreachable);
      }
    }
  }

  /** @returns what the group's placing host decided; null when another one is to be asked */
  async #askOne(group: PlacementGroup): Promise<FinalPlacementResult | null> {
    const peers = this.#peers;
    const placer = peers.choose(group);
    this.#placer = placer;
    if (placer === null && peers.isOwnDeskLeaving()) {
      return createRefusal(REFUSAL.unreachable);
    }
    const request = this.#createRequest(group);
    this.#question = peers.ask(placer, request);
    try {
      const result = await this.#question.result;
      if (result.kind === 'placed') {
        peers.takeLimitReports(placer, result.limitReports);
      }
      if (result.kind === 'handedOver') {
        this.#standing = result.results;
        this.#isAskedAgain ||= result.wereSent;
        peers.noteLeaving(placer);
        return null;
      }
      return result;
    } catch (error) {
      if (this.#isCancelled || placer === null || request.remainingMs <= 0) {
        return createRefusal(REFUSAL.unreachable);
      }
      peers.noteFailure(placer, String(error));
      // The host that was asked may have sent pieces, and may go on.
      this.#isAskedAgain = true;
      return null;
    }
  }

  #createRequest(group: PlacementGroup): PlacementRequest {
    const elapsedMs = this.#clock.getMonotonicMs() - this.#startedAtMs;
    return {
      ...this.#demand,
      domains: group.domains,
      standingResults: this.#standing,
      hostId: this.#peers.hostId,
      limitReports: this.#peers.createLimitReports(this.#demand.poolId),
      isPlacedAgain: this.#isAskedAgain,
      onTimeMs: this.#demand.onTimeMs - elapsedMs,
      remainingMs: this.#demand.remainingMs - elapsedMs,
    };
  }
}
