import type { Logger } from 'pino';
import type { Directory, KnownUpstream } from '../directory/Directory.ts';
import type { DirectoryChange } from '../directory/DirectoryChange.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import { chooseEngine } from './chooseEngine.ts';
import { EnginePermits } from './EnginePermits.ts';
import { EngineTable, getCachedTokens } from './EngineTable.ts';
import { getGroupUpstreams } from './getGroupUpstreams.ts';
import type { PieceRetryBudget } from './PieceRetryBudget.ts';
import type { PlacementRates } from './PlacementRates.ts';
import { PlacementRefusals } from './PlacementRefusals.ts';
import {
  createPlacementJob, getLastStages, isStageDone, type JobStage, type PlacementJob,
} from './PlacementJob.ts';
import type {
  PlacementReport, PlacementRequest, PlacementResult, StandingResult,
} from './PlacementRequest.ts';
import type { StageCall, StageOutcome } from './StageCall.ts';
import { StageScheduler, type StageSchedulerOptions } from './StageScheduler.ts';

/** What the desk needs from outside. */
export interface PlacementCoordinatorOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly logger: Logger;
  /** Bounds how often pieces are sent again. */
  readonly retryBudget: PieceRetryBudget;
  /** Says whether upstreams that name a limit may be sent to. */
  readonly rates: PlacementRates;
  /** @param call - to be sent now; its end comes back through `finishCall` */
  readonly sendCall: (call: StageCall) => void;
  /** Frees results at the upstream that keeps them; the end comes back through `noteFreed`. */
  readonly sendRelease: StageSchedulerOptions['sendRelease'];
  /** Asks for a call of `run`; several asks may be answered by one. */
  readonly requestRun: () => void;
}

/** How long a placed request is remembered behind its deadline, when its host says nothing. */
const RETAIN_AFTER_DEADLINE_MS = 2_000;
/** Weight of the newest generation in the time to the first token. */
const START_TIME_GAIN = 0.1;
/**
 * Part of its time that a request may be expected to take when it can't be on time any more. What
 * can be on time goes before it, also what comes later, so that it takes longer than it looks.
 */
const LATE_FRACTION = 0.5;

/** Whether pieces that are still to be made were sent before. */
function hasSentPieces({ stages }: PlacementJob): boolean {
  return stages.some(({ pieces }) => (
    pieces.some(({ sendCount, state }) => sendCount > 0 && state !== 'done')));
}

function getHandles(stage: JobStage): string[] {
  return stage.pieces.flatMap((piece) => (piece.handle === null ? [] : [piece.handle]));
}

/**
 * Decides for all entry hosts which pieces of stages share a call, where they are made, and which
 * engine runs a generation. One host does this for all, since calls are only full, and room is only
 * known, where all the traffic of a pool is seen.
 */
export class PlacementCoordinator {
  readonly #options: PlacementCoordinatorOptions;

  readonly #scheduler: StageScheduler;

  readonly #engines = new EngineTable();

  readonly #permits: EnginePermits;

  readonly #refusals: PlacementRefusals;

  readonly #jobs = new Map<string, PlacementJob>();

  #isHandingOver = false;

  /** Time from a placement to the engine's first token, lately. */
  #startMs = 0;

  /**
   * @param options - time, what is known of upstreams, and how calls go out
   */
  constructor(options: PlacementCoordinatorOptions) {
    this.#options = options;
    this.#scheduler = new StageScheduler(options);
    this.#permits = new EnginePermits(options.directory, options.rates);
    this.#refusals = new PlacementRefusals({
      ...options, scheduler: this.#scheduler, permits: this.#permits, jobs: this.#jobs,
    });
    options.directory.onChange((change) => this.#applyChange(change));
  }

  /** Whether it knows what to place on; not so at a host that started while the store is away. */
  get isReady(): boolean {
    return this.#options.directory.configuration !== null;
  }

  /** Requests that wait for stages or an engine. */
  get waitingCount(): number {
    return [...this.#jobs.values()].filter((job) => job.state !== 'placed').length;
  }

  /**
   * Takes a request in; refuses it at once when it can't be done in time.
   *
   * @param request - the request
   * @param answer - gets the result, once
   * @returns withdraws the request; without effect once it is placed
   */
  place(request: PlacementRequest, answer: (result: PlacementResult) => void): () => void {
    if (this.#isHandingOver) {
      const { standingResults: results, isPlacedAgain: wereSent } = request;
      answer({ kind: 'handedOver', results, wereSent });
      return () => {};
    }
    this.#options.rates.applyReports(request.limitReports, request.hostId);
    const nowMs = this.#options.clock.getMonotonicMs();
    const standingResults = [...request.standingResults, ...this.#reclaimResults(request.requestId)];
    const onTimeMs = request.onTimeMs - this.#startMs;
    const preferredDomain = this.#getPreferredDomain(request);
    const job = createPlacementJob(
      { ...request, onTimeMs, standingResults },
      nowMs,
      preferredDomain,
      answer,
    );
    const expectedMs = this.#scheduler.getExpectedMs(job);
    const allowedMs = request.remainingMs * (expectedMs > onTimeMs ? LATE_FRACTION : 1);
    const engineWaitMs = this.#permits.getWaitMs(request, this.#jobs.values());
    if (engineWaitMs > Math.max(onTimeMs, expectedMs) && standingResults.length === 0) {
      this.#refusals.refuseLimited(job);
      return () => {};
    }
    // What has been made already is not thrown away.
    if (expectedMs > allowedMs && standingResults.length === 0) {
      this.#refusals.refuseTooLate(job, expectedMs, allowedMs);
      return () => {};
    }
    this.#jobs.set(request.requestId, job);
    this.#scheduler.add(job);
    this.#scheduler.takeOver(job);
    this.#options.requestRun();
    return () => {
      if (this.#jobs.get(request.requestId) === job && job.state !== 'placed') {
        this.#drop(request.requestId);
        this.#options.requestRun();
      }
    };
  }

  /** @param note - what an entry host tells of a request that was placed */
  handleReport(note: PlacementReport): void {
    const job = this.#jobs.get(note.requestId);
    // A request placed again is another job; what is told of its first engine still counts.
    const isCurrent = job !== undefined && job.engineId === note.upstreamId;
    switch (note.kind) {
      case 'started':
        this.#engines.recordStarted(note.upstreamId, note.requestId);
        if (isCurrent) {
          this.#scheduler.remove(job);
          this.#recordStartTime(job);
          this.#options.requestRun();
        }
        return;
      case 'notTaken':
      case 'unreachable':
        this.#handleNotTaken(note, isCurrent ? job : null);
        return;
      case 'failed':
        this.#engines.recordFailure(note.upstreamId, this.#options.clock.getMonotonicMs());
        break;
      case 'ended':
        break;
      default:
        throw exhaustiveSwitchError(note.kind);
    }
    if (isCurrent) {
      this.#drop(note.requestId);
    }
    this.#options.requestRun();
  }

  /**
   * @param call - a call that was sent
   * @param outcome - what became of it
   */
  finishCall(call: StageCall, outcome: StageOutcome): void {
    this.#scheduler.finishCall(call, outcome);
    this.#options.requestRun();
  }

  /** @param handles - results that their upstream has let go */
  recordReleased(handles: readonly string[]): void {
    this.#scheduler.recordReleased(handles);
    this.#options.requestRun();
  }

  /** Gives back what it has not placed, each request with the results that stand of it. */
  startHandingOver(): void {
    this.#isHandingOver = true;
    this.#options.requestRun();
  }

  /** Does what can be done now. */
  run(): void {
    this.#expire();
    if (this.#isHandingOver) {
      this.#handOver();
      return;
    }
    this.#jobs.forEach((job) => {
      if (job.state === 'inStages' && job.stages.every(isStageDone)) {
        job.state = 'awaitingEngine';
      }
    });
    [...this.#jobs.values()]
      .filter((job) => job.state === 'awaitingEngine')
      .sort((left, right) => left.request.priority - right.request.priority
        || left.onTimeAtMs - right.onTimeAtMs)
      .forEach((job) => this.#placeOnEngine(job));
    this.#scheduler.run();
  }

  /** A request with pieces that are being made stays until those calls are over. */
  #handOver(): void {
    this.#jobs.forEach((job, requestId) => {
      const isMoving = job.state !== 'placed'
        && !job.stages.some(({ pieces }) => pieces.some(({ state }) => state === 'running'));
      if (isMoving) {
        this.#jobs.delete(requestId);
        const wereSent = hasSentPieces(job);
        const results = this.#scheduler.handOver(job);
        this.#options.logger.info({
          event: 'placementHandedOver', requestId, resultCount: results.length,
        }, 'handed a request over to the next placing host');
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
    // A result may have gone with its upstream while the request waited for an engine.
    if (!lastStages.every(isStageDone) || !this.#scheduler.areHeld(inputs)) {
      job.state = 'inStages';
      this.#scheduler.reopenMissing(job);
      return;
    }
    const bounds = directory.configuration?.pools.get(request.poolId)?.engine;
    const { poolId, domains, excludedIds } = request;
    const engines = getGroupUpstreams(directory, poolId, domains, excludedIds);
    const open = engines.filter(({ entry }) => this.#permits.isOpenTo(entry, request));
    if (engines.length > 0 && open.length === 0) {
      this.#recordHeld(job, engines);
    }
    const candidates = open
      .map(({ entry }) => ({
        engine: this.#engines.get(entry.id), failureDomain: entry.failureDomain,
      }))
      .filter(({ engine }) => engine.avoidUntilMs <= nowMs);
    const memoryTokens = request.promptTokens + request.maxOutputTokens;
    const capacityTokens = bounds?.memoryTokens ?? Infinity;
    const engineId = chooseEngine(candidates, {
      parts: request.parts,
      promptTokens: request.promptTokens,
      memoryTokens,
      inputBytes: this.#getInputBytes(lastStages),
    }, { slots: bounds?.slots ?? Infinity, memoryTokens: capacityTokens });
    if (engineId === null) {
      return;
    }
    job.state = 'placed';
    job.engineId = engineId;
    job.placedAtMs = nowMs;
    this.#engines.place(engineId, request.requestId, request.parts, memoryTokens, capacityTokens);
    job.answer({
      kind: 'placed', upstreamId: engineId, inputs, ...this.#permits.take(engineId),
    });
  }

  #recordHeld(job: PlacementJob, engines: readonly KnownUpstream[]): void {
    const held = job;
    if (!held.isHeldByLimit) {
      held.isHeldByLimit = true;
      this.#options.logger.info({
        event: 'placementHeld',
        requestId: job.request.requestId,
        upstreamIds: engines.map(({ entry }) => entry.id),
        waitMs: Math.round(this.#permits.getWaitMs(job.request, [])),
      }, 'a request waits, since all its engines name limits');
    }
  }

  /** The failure domain of the engine that keeps most of a prompt. */
  #getPreferredDomain(request: PlacementRequest): string | null {
    let best: { domain: string; tokens: number } | null = null;
    const { directory } = this.#options;
    getGroupUpstreams(directory, request.poolId, request.domains).forEach(({ entry }) => {
      const tokens = getCachedTokens(this.#engines.get(entry.id), request.parts);
      if (tokens > (best?.tokens ?? 0)) {
        best = { domain: entry.failureDomain, tokens };
      }
    });
    return (best as { domain: string } | null)?.domain ?? null;
  }

  #recordStartTime(job: PlacementJob): void {
    const tookMs = this.#options.clock.getMonotonicMs() - job.placedAtMs;
    this.#startMs += START_TIME_GAIN * (tookMs - this.#startMs);
  }

  #getInputBytes(stages: readonly JobStage[]): Map<string, number> {
    const bytes = new Map<string, number>();
    stages.forEach((stage) => stage.pieces.forEach((piece) => {
      const maker = piece.makerId === null
        ? undefined
        : this.#options.directory.getUpstream(piece.makerId);
      if (maker !== undefined) {
        const domain = maker.entry.failureDomain;
        bytes.set(domain, (bytes.get(domain) ?? 0) + stage.resultBytes);
      }
    }));
    return bytes;
  }

  #expire(): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    this.#jobs.forEach((job, requestId) => {
      if (job.state === 'placed') {
        if (job.deadlineAtMs + RETAIN_AFTER_DEADLINE_MS <= nowMs) {
          this.#drop(requestId);
        }
      } else if (nowMs + this.#scheduler.getLeastMs(job) > job.deadlineAtMs) {
        this.#drop(requestId);
        this.#refusals.refuseExpired(job);
      }
    });
  }

  /** The request is placed again in a moment; until then its results stand. */
  #handleNotTaken({ kind, upstreamId, requestId }: PlacementReport, job: PlacementJob | null): void {
    if (kind === 'unreachable') {
      this.#engines.recordFailure(upstreamId, this.#options.clock.getMonotonicMs());
    }
    this.#engines.recordEnded(upstreamId, requestId);
    if (job !== null) {
      job.engineId = null;
    }
    this.#options.requestRun();
  }

  /** @returns what stands of a request that was placed here before and is placed again */
  #reclaimResults(requestId: string): StandingResult[] {
    const job = this.#jobs.get(requestId);
    if (job === undefined || job.state !== 'placed') {
      this.#drop(requestId);
      return [];
    }
    this.#jobs.delete(requestId);
    if (job.engineId !== null) {
      this.#engines.recordEnded(job.engineId, requestId);
    }
    return this.#scheduler.handOver(job);
  }

  #drop(requestId: string): void {
    const job = this.#jobs.get(requestId);
    if (job === undefined) {
      return;
    }
    this.#jobs.delete(requestId);
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
    this.#scheduler.removeMaker(upstreamId);
  }
}
