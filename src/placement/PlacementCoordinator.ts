import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { DirectoryChange } from '../directory/DirectoryChange.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { QuotaBorrower } from '../quotas/QuotaBorrower.ts';
import { FairShares } from '../shares/FairShares.ts';
import type { Clock } from '../time/Clock.ts';
import { describePlacement } from './describePlacement.ts';
import { EnginePermits } from './EnginePermits.ts';
import { EngineRoom } from './EngineRoom.ts';
import { EngineSelector } from './EngineSelector.ts';
import { EngineStarts } from './EngineStarts.ts';
import { EngineTable } from './EngineTable.ts';
import { getPreferredDomain } from './getPreferredDomain.ts';
import type { MakerRollouts } from './MakerRollouts.ts';
import type { PieceRetryBudget } from './PieceRetryBudget.ts';
import type { PlacementRates } from './PlacementRates.ts';
import { HeldPieces } from './HeldPieces.ts';
import { HAND_OVER_REASON, type HandOverReason } from './HAND_OVER_REASON.ts';
import { PlacementRefusals } from './PlacementRefusals.ts';
import {
  createPieces, createPlacementJob, getHandles, getLastStages, hasCrashingPiece, hasSentPieces,
  isStageDone, releasePrompt, type PlacementJob,
} from './PlacementJob.ts';
import type {
  PlacementReport, PlacementRequest, PlacementResult, StandingResult,
} from './PlacementRequest.ts';
import type { StageCall, StageOutcome } from './StageCall.ts';
import { compareForEngine } from './Precedence.ts';
import { StageScheduler, type StageSchedulerOptions } from './StageScheduler.ts';

/** Dependencies of a {@link PlacementCoordinator}. */
export interface PlacementCoordinatorOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly logger: Logger;
  /** Limits how many pieces are retried. */
  readonly retryBudget: PieceRetryBudget;
  /** Knows the permits for upstreams that advertise limits. */
  readonly rates: PlacementRates;
  /** Grants sends to upstreams with a cold start limit. */
  readonly quotas: Pick<QuotaBorrower, 'isOpenTo' | 'setOpen' | 'take'>;
  /** Restricts the makers of pools that move to another software version. */
  readonly rollouts: MakerRollouts;
  /** Largest number of pieces of all requests that the coordinator holds. */
  readonly maxHeldPieces: number;
  /** Largest number of prompt parts that it takes for cached, of all engines together. */
  readonly maxCachedParts: number;
  /** @param call - the call to send; its outcome is passed to `finishCall` */
  readonly sendCall: (call: StageCall) => void;
  /** Releases results at their upstream; its answer is passed to `recordReleased`. */
  readonly sendRelease: StageSchedulerOptions['sendRelease'];
  /** Requests an engine's own report; it is passed to `room.recordFigures`. */
  readonly requestEngineReport: (engineId: UpstreamId) => void;
  /** Requests a call of `run`; one call may serve several requests. */
  readonly requestRun: () => void;
}

/** How long a placed request is retained after its deadline when its host reports no end. */
const RETAIN_AFTER_DEADLINE_MS = 2_000;
/**
 * Fraction of its remaining time that a request which will miss its target may be expected to take.
 * Requests that can meet their targets go before it, later ones included, so that it takes longer
 * than the estimate.
 */
const LATE_FRACTION = 0.5;

/**
 * Decides for all entry hosts which pieces of stages share a call, which upstream runs them, and
 * which engine runs a generation. One host does this for a group, since calls are full, and free
 * memory is known, only where all the traffic of a pool is visible.
 */
export class PlacementCoordinator {
  readonly #options: PlacementCoordinatorOptions;

  readonly #scheduler: StageScheduler;

  readonly #engines: EngineTable;

  /** The memory that is promised at the engines. */
  readonly room: EngineRoom;

  readonly #starts: EngineStarts;

  readonly #permits: EnginePermits;

  readonly #shares: FairShares;

  readonly #selector: EngineSelector;

  readonly #refusals: PlacementRefusals;

  readonly #jobs = new Map<string, PlacementJob>();

  readonly #heldPieces: HeldPieces;

  /** Why this coordinator hands its requests over; null while it places them. */
  #handOverReason: HandOverReason | null = null;

  /**
   * @param options - see {@link PlacementCoordinatorOptions}
   */
  constructor(options: PlacementCoordinatorOptions) {
    this.#options = options;
    this.#engines = new EngineTable(options.maxCachedParts);
    this.#heldPieces = new HeldPieces(options.maxHeldPieces);
    this.#scheduler = new StageScheduler(options);
    this.#permits = new EnginePermits(options.directory, options.rates);
    this.#starts = new EngineStarts(options.clock);
    this.room = new EngineRoom({
      ...options, engines: this.#engines, requestReport: options.requestEngineReport,
    });
    this.#shares = new FairShares(options);
    this.#refusals = new PlacementRefusals({
      ...options,
      scheduler: this.#scheduler,
      starts: this.#starts,
      permits: this.#permits,
      shares: this.#shares,
      jobs: this.#jobs,
    });
    this.#selector = new EngineSelector({
      ...options,
      engines: this.#engines,
      permits: this.#permits,
      room: this.room,
      starts: this.#starts,
      onHeld: (job, engines) => this.#refusals.recordHeld(job, engines),
    });
    options.directory.onChange((change) => this.#applyChange(change));
  }

  /** Whether a configuration is known; a host that starts without the store has none. */
  get isReady(): boolean {
    return this.#options.directory.configuration !== null;
  }

  /** Number of requests that wait for stages or an engine. */
  get waitingCount(): number {
    return [...this.#jobs.values()].filter((job) => job.state !== 'placed').length;
  }

  /**
   * @param poolId - a pool
   * @returns its upstreams that run calls or store results, as far as this coordinator knows
   */
  getBusyMakerIds(poolId: PoolId): UpstreamId[] {
    return this.#scheduler.getBusyMakerIds(poolId);
  }

  /**
   * Accepts a request, or refuses it at once when it can't be done in time.
   *
   * @param request - the request
   * @param answer - receives the result, once
   * @returns a function that withdraws the request; without effect once it is placed
   */
  place(request: PlacementRequest, answer: (result: PlacementResult) => void): () => void {
    if (this.#handOverReason !== null) {
      const { standingResults: results, isPlacedAgain: wereSent } = request;
      answer({ kind: 'handedOver', results, wereSent });
      return () => {};
    }
    this.#options.rates.applyReports(request.limitReports, request.hostId);
    this.room.recordRequest(request);
    const job = this.#createJob(request, answer);
    if (this.#refuseIfHopeless(job)) {
      return () => {};
    }
    this.#accept(job);
    return () => {
      if (this.#jobs.get(request.requestId) === job && job.state !== 'placed') {
        this.#drop(request.requestId);
        this.#options.requestRun();
      }
    };
  }

  /** @param report - the progress of a placed request, from its entry host */
  handleReport(report: PlacementReport): void {
    const job = this.#jobs.get(report.requestId);
    // A request placed again is a new job; reports on its first engine still apply to that engine.
    const isCurrent = job !== undefined && job.engineId === report.upstreamId;
    this.room.recordReport(report);
    this.#starts.recordReport(report);
    switch (report.kind) {
      case 'started':
        this.#engines.recordStarted(report.upstreamId, report.requestId);
        if (isCurrent) {
          this.#scheduler.remove(job);
          this.#shares.recordServed(job);
          this.#options.requestRun();
        }
        return;
      case 'notTaken':
      case 'unreachable':
        this.#handleNotTaken(report, isCurrent ? job : null);
        return;
      case 'failed':
        this.#engines.recordFailure(report.upstreamId, this.#options.clock.getMonotonicMs());
        break;
      case 'ended':
        break;
      default:
        throw exhaustiveSwitchError(report.kind);
    }
    if (isCurrent) {
      this.#drop(report.requestId);
    }
    this.#options.requestRun();
  }

  /**
   * Processes the outcome of a call.
   *
   * @param call - the call
   * @param outcome - its outcome
   */
  finishCall(call: StageCall, outcome: StageOutcome): void {
    this.#scheduler.finishCall(call, outcome);
    this.#options.requestRun();
  }

  /** @param handles - results that their upstream has released */
  recordReleased(handles: readonly string[]): void {
    this.#scheduler.recordReleased(handles);
    this.#options.requestRun();
  }

  /**
   * Starts or ends handing over the requests that are not placed, each with its existing results.
   *
   * @param reason - why other coordinators place from now on; null when this one does again
   */
  setHandingOver(reason: HandOverReason | null): void {
    this.#handOverReason = reason;
    this.#options.quotas.setOpen(reason === null);
    this.#options.requestRun();
  }

  /** Refuses expired requests, places requests on engines, and sends calls of stages. */
  run(): void {
    this.#expire();
    if (this.#handOverReason !== null) {
      this.#handOver();
      return;
    }
    this.#jobs.forEach((job) => {
      if (job.state === 'inStages' && job.stages.every(isStageDone)) {
        job.state = 'awaitingEngine';
      }
    });
    this.#shares.refresh(this.#jobs.values());
    [...this.#jobs.values()]
      .filter((job) => job.state === 'awaitingEngine')
      .sort(compareForEngine)
      .forEach((job) => this.#placeOnEngine(job));
    this.#scheduler.run();
  }

  #createJob(
    request: PlacementRequest,
    answer: (result: PlacementResult) => void,
  ): PlacementJob {
    const { clock, directory } = this.#options;
    const standingResults = [
      ...request.standingResults, ...this.#reclaimResults(request.requestId),
    ];
    const onTimeMs = request.onTimeMs - this.#starts.getExpectedMs(request.kind);
    return createPlacementJob(
      { ...request, onTimeMs, standingResults },
      clock.getMonotonicMs(),
      getPreferredDomain(directory, this.#engines, request),
      answer,
    );
  }

  /**
   * Refuses a request that arrives and that can't be held, or not be done in time. Results that
   * exist already are not discarded.
   *
   * @returns whether it is refused
   */
  #refuseIfHopeless(job: PlacementJob): boolean {
    const { request } = job;
    const hasResults = request.standingResults.length > 0;
    if (!this.room.canHold(request)) {
      this.#refusals.refuseTooLarge(job);
      return true;
    }
    if (this.#heldPieces.isTooLarge(job)) {
      this.#refusals.refuseTooManyPieces(job);
      return true;
    }
    this.#shares.recordArrival(job);
    const forecast = this.#scheduler.getForecast(job);
    const { expectedMs } = forecast;
    const allowedMs = request.remainingMs * (expectedMs > request.onTimeMs ? LATE_FRACTION : 1);
    const engineWaitMs = this.#permits.getWaitMs(job, this.#jobs.values());
    if (!hasResults && engineWaitMs > Math.max(request.onTimeMs, expectedMs)) {
      this.#refusals.refuseLimited(job);
      return true;
    }
    if (!hasResults && expectedMs > allowedMs) {
      this.#refusals.refuseTooLate(job, forecast, allowedMs);
      return true;
    }
    if (this.#shares.isRefused(job, this.#scheduler.getLeastMs(job), expectedMs)) {
      this.#refusals.refuseOverShare(job, forecast);
      return true;
    }
    if (!this.#heldPieces.hasRoom(job)) {
      this.#refusals.refuseNoRoomForPieces(job);
      return true;
    }
    return false;
  }

  #accept(job: PlacementJob): void {
    this.#shares.recordAccepted(job);
    createPieces(job);
    this.#hold(job);
    this.#scheduler.add(job);
    this.#scheduler.takeOver(job);
    this.#options.requestRun();
  }

  /**
   * Hands over each request that has no running piece. The others stay until their calls end,
   * unless this host is cut off, so that the calls may never end.
   */
  #handOver(): void {
    const isCutOff = this.#handOverReason === HAND_OVER_REASON.cutOff;
    this.#jobs.forEach((job, requestId) => {
      const hasRunning = job.stages
        .some(({ pieces }) => pieces.some(({ state }) => state === 'running'));
      if (job.state !== 'placed' && (isCutOff || !hasRunning)) {
        this.#forget(job);
        const wereSent = hasSentPieces(job);
        const results = this.#scheduler.handOver(job);
        this.#options.logger.info({
          event: 'placementHandedOver', requestId, resultCount: results.length,
        }, 'handed a request over to the next placement coordinator');
        job.answer({ kind: 'handedOver', results, wereSent });
      }
    });
    this.#scheduler.flushReleases();
  }

  #placeOnEngine(job: PlacementJob): void {
    const { request } = job;
    const { directory, clock } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const lastStages = getLastStages(job);
    const inputs = lastStages.flatMap(getHandles);
    // An upstream may have gone, with its results, while the request waited for an engine.
    if (!lastStages.every(isStageDone) || !this.#scheduler.areHeld(inputs)) {
      job.state = 'inStages';
      this.#scheduler.reopenMissing(job);
      return;
    }
    const engineId = this.#selector.select(job);
    if (engineId === null) {
      return;
    }
    job.state = 'placed';
    job.engineId = engineId;
    job.placedAtMs = nowMs;
    this.#selector.recordPlaced(job, engineId);
    releasePrompt(job);
    this.#options.logger.info(
      {
        event: 'placementMade',
        startMs: Math.round(this.#starts.getExpectedMs(request.kind)),
        ...describePlacement(job, nowMs),
      },
      'chose an engine for a request',
    );
    const chosen = directory.getUpstream(engineId)?.entry;
    job.answer({
      kind: 'placed',
      upstreamId: engineId,
      inputs,
      ...this.#permits.take(engineId),
      quota: chosen === undefined ? null : this.#options.quotas.take(chosen, request.hostId),
      heldMs: nowMs - job.arrivedAtMs,
    });
  }

  #expire(): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#jobs.forEach((job, requestId) => {
      if (job.state === 'placed') {
        if (job.deadlineAtMs + RETAIN_AFTER_DEADLINE_MS <= nowMs) {
          this.#drop(requestId);
        }
      } else if (hasCrashingPiece(job)) {
        this.#drop(requestId);
        this.#refusals.refuseCrashing(job);
      } else if (nowMs + this.#scheduler.getLeastMs(job) > job.deadlineAtMs) {
        this.#drop(requestId);
        this.#refusals.refuseExpired(job);
      }
    });
  }

  /** Keeps the results, since the request is placed again at once. */
  #handleNotTaken(
    { kind, upstreamId, requestId }: PlacementReport,
    job: PlacementJob | null,
  ): void {
    if (kind === 'unreachable') {
      this.#engines.recordFailure(upstreamId, this.#options.clock.getMonotonicMs());
    }
    this.#engines.recordEnded(upstreamId, requestId);
    if (job !== null) {
      job.engineId = null;
    }
    this.#options.requestRun();
  }

  /** @returns the results that exist for a request that was placed here and is placed again */
  #reclaimResults(requestId: string): StandingResult[] {
    const job = this.#jobs.get(requestId);
    if (job === undefined || job.state !== 'placed') {
      this.#drop(requestId);
      return [];
    }
    this.#forget(job);
    if (job.engineId !== null) {
      this.#engines.recordEnded(job.engineId, requestId);
    }
    return this.#scheduler.handOver(job);
  }

  #hold(job: PlacementJob): void {
    this.#jobs.set(job.request.requestId, job);
    this.#heldPieces.add(job);
  }

  #forget(job: PlacementJob): void {
    this.#jobs.delete(job.request.requestId);
    this.#heldPieces.remove(job);
  }

  #drop(requestId: string): void {
    const job = this.#jobs.get(requestId);
    if (job === undefined) {
      return;
    }
    this.#forget(job);
    this.#scheduler.remove(job);
    if (job.engineId !== null) {
      this.#engines.recordEnded(job.engineId, requestId);
    }
  }

  #applyChange(change: DirectoryChange): void {
    if (change.kind === 'upstreamGone') {
      this.#removeUpstream(change.upstreamId);
    }
  }

  #removeUpstream(upstreamId: UpstreamId): void {
    this.#engines.remove(upstreamId);
    this.room.remove(upstreamId);
    this.#starts.remove(upstreamId);
    this.#scheduler.removeMaker(upstreamId);
  }
}
