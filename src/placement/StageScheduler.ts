import type { Directory, KnownUpstream } from '../directory/Directory.ts';
import type { BatchLimits, ServingPool } from '../directory/ServingConfiguration.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import { DomainChooser } from './DomainChooser.ts';
import { GroupJobs } from './GroupJobs.ts';
import type { MakerRollouts } from './MakerRollouts.ts';
import { MakerTable, type MakerRecord } from './MakerTable.ts';
import {
  isStageDone, isStageOpen, type JobStage, type PlacementJob,
} from './PlacementJob.ts';
import { planBatches, type PieceGroup, type PlannedPiece } from './planBatches.ts';
import { PIECE_FAILURE } from './PIECE_FAILURE.ts';
import type { PieceOutcome, StageCall, StageOutcome } from './StageCall.ts';
import type { PieceRetryBudget } from './PieceRetryBudget.ts';
import type { PlacementRates } from './PlacementRates.ts';
import { comparePrecedence, getPrecedence } from './Precedence.ts';
import type { StandingResult } from './PlacementRequest.ts';
import { createStageItem } from './createStageItem.ts';
import { StageForecast, type WaitForecast, type WaitingClass } from './StageForecast.ts';
import { StageResults } from './StageResults.ts';
import { resetPiece } from './resetPiece.ts';
import { getBusyMakers, getIdleMakers } from './selectMakers.ts';
import { splitPiecesByCall } from './splitPiecesByCall.ts';
import { getInputBytes } from './stageBytes.ts';

/** Dependencies of a {@link StageScheduler}. */
export interface StageSchedulerOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  /** Limits how many pieces are retried. */
  readonly retryBudget: PieceRetryBudget;
  /** Knows the permits for upstreams that advertise limits. */
  readonly rates: PlacementRates;
  /** Restricts the makers of pools that move to another software version. */
  readonly rollouts: MakerRollouts;
  /** @param call - the call to send; its outcome is passed to `finishCall` */
  readonly sendCall: (call: StageCall) => void;
  /** Releases results at their upstream; its answer is passed to `recordReleased`. */
  readonly sendRelease: (makerId: UpstreamId, address: string, handles: readonly string[]) => void;
}

/** The state of the usable makers of a pool, for the log. */
export interface MakerDescription {
  readonly poolId: PoolId;
  readonly count: number;
  readonly idleCount: number;
  /** Those that get no call now, after a failure or for want of memory. */
  readonly avoidedCount: number;
  /** Memory that is free for results, of all of them together. */
  readonly freeBytes: number;
}

/** What waits in a group, and the makers of the stages of a request, for the log. */
export interface QueueDescription {
  readonly waiting: readonly WaitingClass[];
  readonly makers: readonly MakerDescription[];
}

/** A call times out after this multiple of the duration by its pool's batch limits. */
const TIMEOUT_FACTOR = 3;
/** Smallest timeout of a call. */
const MIN_TIMEOUT_MS = 1_000;
/** Fraction of the memory to plan with, since results are only about as large as declared. */
const USABLE_ROOM_FRACTION = 0.95;

/** Identifies a group by its first failure domain, so that it may gain or lose others. */
function getGroupKey({ request }: PlacementJob): string {
  return request.domains[0] ?? '';
}

function isNoRoom(outcome: PieceOutcome): boolean {
  return outcome.kind === 'failure' && outcome.failure === PIECE_FAILURE.noRoom;
}

function getTimeoutMs(expectedMs: number, maker: MakerRecord): number {
  return Math.max(MIN_TIMEOUT_MS, expectedMs * TIMEOUT_FACTOR * Math.max(1, maker.slowness));
}

function getResultBytes(pieces: readonly PlannedPiece[]): number {
  return pieces.reduce((sum, { stage }) => sum + stage.resultBytes, 0);
}

function recordOpened(stage: JobStage, nowMs: number): JobStage {
  const opened = stage;
  opened.openedAtMs ??= nowMs;
  return opened;
}

function recordDone(stage: JobStage, nowMs: number): void {
  if (isStageDone(stage)) {
    const done = stage;
    done.doneAtMs = nowMs;
  }
}

function getFreeBytes(maker: MakerRecord, limits: BatchLimits): number {
  return limits.roomBytes * USABLE_ROOM_FRACTION - maker.heldBytes - maker.promisedBytes;
}

/** Forms the calls of batched stages and assigns them to upstreams. */
export class StageScheduler {
  readonly #options: StageSchedulerOptions;

  readonly #makers = new MakerTable();

  readonly #results: StageResults;

  readonly #forecast: StageForecast;

  /** The waiting requests, by the key of their group. */
  readonly #groups = new Map<string, GroupJobs>();

  /** Number of results with unknown handles; gives each reservation for them a distinct name. */
  #unknownCount = 0;

  /**
   * @param options - see {@link StageSchedulerOptions}
   */
  constructor(options: StageSchedulerOptions) {
    this.#options = options;
    this.#forecast = new StageForecast(options);
    this.#results = new StageResults({ ...options, makers: this.#makers });
  }

  /**
   * @param poolId - a pool
   * @returns its makers that run calls or store results
   */
  getBusyMakerIds(poolId: PoolId): UpstreamId[] {
    return this.#makers.getBusyIds()
      .filter((id) => this.#options.directory.getUpstream(id)?.entry.poolId === poolId);
  }

  /** @param job - a request whose stages have to be run */
  add(job: PlacementJob): void {
    const group = this.#getGroup(job);
    group.domains = job.request.domains;
    group.jobs.add(job);
  }

  /**
   * Adopts the results that a request has from another coordinator.
   *
   * @param job - the request, which must have been added
   */
  takeOver(job: PlacementJob): void {
    this.#results.takeOver(job);
    this.#forecast.invalidate(job);
  }

  /**
   * Removes a request without releasing its results, for the next coordinator to adopt.
   *
   * @param job - a request without a running piece
   * @returns its existing results
   */
  handOver(job: PlacementJob): StandingResult[] {
    const results = this.#results.handOver(job);
    this.remove(job);
    return results;
  }

  /** @param job - a request that needs its stages no more; its results are released */
  remove(job: PlacementJob): void {
    this.#groups.get(getGroupKey(job))?.jobs.delete(job);
    this.#forecast.invalidate(job);
    job.stages.forEach((stage) => this.#results.releaseStage(stage));
  }

  /**
   * @param job - a request that waits for its stages
   * @returns the time that its remaining stages take without any wait
   */
  getLeastMs(job: PlacementJob): number {
    return this.#forecast.getLeastMs(job);
  }

  /**
   * @param job - a request, added or not
   * @returns the time that its stages take behind the requests that go before it
   */
  getForecast(job: PlacementJob): WaitForecast {
    return this.#forecast.getForecast(job, this.#getGroup(job));
  }

  /**
   * @param job - a request, added or not
   * @returns what waits when it is judged, for the log
   */
  describeQueue(job: PlacementJob): QueueDescription {
    const group = this.#getGroup(job);
    const makers = [...new Set(job.stages.map(({ poolId }) => poolId))].flatMap((poolId) => {
      const limits = this.#options.directory.configuration?.pools.get(poolId)?.batch ?? null;
      return limits === null ? [] : [this.#describeMakers(poolId, group, limits)];
    });
    return { waiting: this.#forecast.describeWaiting(group), makers };
  }

  /**
   * @param job - a request, added or not
   * @returns the longest time for which its pieces occupy all makers of one pool
   */
  getOccupancyMs(job: PlacementJob): number {
    return this.#forecast.getOccupancyMs(job, this.#getGroup(job));
  }

  /**
   * @param upstreamId - an upstream that is gone
   */
  removeMaker(upstreamId: UpstreamId): void {
    this.#makers.remove(upstreamId);
    this.#results.removeMaker(upstreamId);
    this.#groups.forEach(({ jobs }) => jobs.forEach((job) => this.reopenMissing(job)));
  }

  /** @param handles - results that their upstream has released */
  recordReleased(handles: readonly string[]): void {
    this.#makers.removeResults(handles);
  }

  /**
   * Resets pieces to waiting whose results are needed and no longer exist.
   *
   * @param job - a request whose stages are not all done
   */
  reopenMissing(job: PlacementJob): void {
    this.#forecast.invalidate(job);
    this.#results.reopenMissing(job);
  }

  /**
   * @param handles - results
   * @returns whether all of them are known to exist and are not to be released
   */
  areHeld(handles: readonly string[]): boolean {
    return handles.every((handle) => this.#makers.isHeld(handle));
  }

  /**
   * Processes the outcome of a call.
   *
   * @param call - the call
   * @param outcome - its outcome
   */
  finishCall(call: StageCall, outcome: StageOutcome): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const maker = this.#makers.get(call.makerId);
    call.pieces.forEach(({ job }) => this.#forecast.invalidate(job));
    maker.callCount = Math.max(0, maker.callCount - 1);
    maker.promisedBytes = Math.max(0, maker.promisedBytes - getResultBytes(call.pieces));
    switch (outcome.kind) {
      case 'answered':
        this.#options.retryBudget.recordAnswered(call.poolId, call.makerId);
        this.#makers.recordSuccess(call.makerId, nowMs - call.startedAtMs, call.expectedMs);
        call.pieces.forEach((planned, index) => {
          this.#finishPiece(call, planned, outcome.pieces[index], nowMs);
        });
        if (outcome.pieces.some(isNoRoom)) {
          this.#makers.recordNoRoom(call.makerId, nowMs);
        } else {
          maker.noRoomCount = 0;
        }
        break;
      case 'notSent':
        this.#makers.recordFailure(call.makerId, nowMs);
        call.pieces.forEach(({ piece }) => {
          piece.sendCount -= 1;
          resetPiece(piece, null);
        });
        break;
      case 'notRun':
        this.#options.retryBudget.recordAnswered(call.poolId, call.makerId);
        this.#makers.recordNoRoom(call.makerId, nowMs);
        call.pieces.forEach(({ piece }) => resetPiece(piece, 'notRun'));
        break;
      case 'broken':
        this.#makers.recordFailure(call.makerId, nowMs);
        this.#reserveUnknown(call, getResultBytes(call.pieces), nowMs + this.#getResultTtlMs(call));
        call.pieces.forEach(({ piece }) => {
          piece.brokenCallCount += 1;
          resetPiece(piece, 'broken');
        });
        break;
      default:
        throw exhaustiveSwitchError(outcome);
    }
  }

  /** Releases the results that are not needed, without sending calls. */
  flushReleases(): void {
    this.#results.flushReleases();
  }

  /** Releases the results that are not needed, and sends the calls that are possible now. */
  run(): void {
    this.#makers.expire(this.#options.clock.getMonotonicMs());
    this.#results.flushReleases();
    this.#groups.forEach((group, key) => {
      if (group.jobs.size === 0) {
        this.#groups.delete(key);
      }
      this.#runGroup(group);
    });
  }

  #getGroup(job: PlacementJob): GroupJobs {
    const key = getGroupKey(job);
    const known = this.#groups.get(key);
    if (known !== undefined) {
      return known;
    }
    const group = new GroupJobs(this.#options.directory, job.request.domains);
    this.#groups.set(key, group);
    return group;
  }

  #describeMakers(poolId: PoolId, group: GroupJobs, limits: BatchLimits): MakerDescription {
    const makers = group.getUsable(poolId).map(({ entry }) => this.#makers.get(entry.id));
    const nowMs = this.#options.clock.getMonotonicMs();
    return {
      poolId,
      count: makers.length,
      idleCount: makers.filter(({ callCount }) => callCount < limits.callSlots).length,
      avoidedCount: makers.filter(({ avoidUntilMs }) => avoidUntilMs > nowMs).length,
      freeBytes: Math.round(makers.reduce((sum, maker) => sum + getFreeBytes(maker, limits), 0)),
    };
  }

  #runGroup(group: GroupJobs): void {
    const pools = this.#options.directory.configuration?.pools;
    const chooser = new DomainChooser(this.#options.directory, group);
    const poolIds = new Set([...group.jobs]
      .flatMap((job) => job.stages.map((stage) => stage.poolId)));
    poolIds.forEach((poolId) => {
      const pool = pools?.get(poolId);
      if (pool !== undefined && pool.batch !== null) {
        this.#runPool(group, chooser, pool, pool.batch);
      }
    });
  }

  #runPool(
    group: GroupJobs,
    chooser: DomainChooser,
    pool: ServingPool,
    limits: BatchLimits,
  ): void {
    const usable = group.getUsable(pool.id)
      .map((upstream) => ({ upstream, maker: this.#makers.get(upstream.entry.id) }));
    const nowMs = this.#options.clock.getMonotonicMs();
    const { rates, rollouts } = this.#options;
    const idle = rollouts
      .selectMakers(pool.id, limits.maxPieces, getIdleMakers(usable, limits, nowMs))
      .filter(({ item }) => rates.canTakePermit(item.upstream.entry));
    if (idle.length === 0) {
      return;
    }
    const groups = this.#getPieceGroups(group, chooser, pool).sort(comparePrecedence);
    if (groups.length === 0) {
      return;
    }
    const spaces = idle.map(({ item: { upstream, maker }, maxPieces }) => ({
      makerId: maker.id,
      failureDomain: upstream.entry.failureDomain,
      maxPieces,
      freeBytes: getFreeBytes(maker, limits),
    }));
    planBatches(groups, spaces, getBusyMakers(usable, limits, nowMs)).forEach((batch) => {
      const found = idle.find(({ item }) => item.maker.id === batch.makerId);
      if (found !== undefined) {
        this.#send(found.item.upstream, found.item.maker, limits, batch.pieces);
      }
    });
  }

  #getPieceGroups(group: GroupJobs, chooser: DomainChooser, pool: ServingPool): PieceGroup[] {
    const nowMs = this.#options.clock.getMonotonicMs();
    let retriesLeft = this.#options.retryBudget.getRetriesLeft(pool.id);
    const takeRetry = (): boolean => {
      retriesLeft -= 1;
      return retriesLeft >= 0;
    };
    return [...group.jobs].flatMap((job) => job.stages
      .filter((stage) => stage.poolId === pool.id && isStageOpen(job, stage))
      .map((stage) => ({
        job,
        stage: recordOpened(stage, nowMs),
        pieces: stage.pieces.filter((piece) => piece.state === 'waiting'
          && (piece.sendCount === 0 || takeRetry())),
      }))
      .filter(({ pieces }) => pieces.length > 0)
      .flatMap(({ stage, pieces }) => splitPiecesByCall(pieces).map((part) => ({ stage, ...part })))
      .map(({ stage, pieces, needsOwnCall }) => ({
        ...getPrecedence(job, nowMs + this.getLeastMs(job)),
        stage,
        pieces,
        needsOwnCall,
        failureDomain: chooser.choose(job, stage),
        inputBytes: getInputBytes(job, stage),
      })));
  }

  #send(
    upstream: KnownUpstream,
    maker: MakerRecord,
    limits: BatchLimits,
    pieces: readonly PlannedPiece[],
  ): void {
    // Another call of this run may have taken the last permit.
    if (!this.#options.rates.tryTakePermit(upstream.entry)) {
      return;
    }
    const nowMs = this.#options.clock.getMonotonicMs();
    const expectedMs = limits.callMs + limits.pieceMs * pieces.length;
    const retryCount = pieces.filter(({ piece }) => piece.sendCount > 0).length;
    const firstCount = pieces.length - retryCount;
    this.#options.retryBudget.recordSent(upstream.entry.poolId, maker.id, firstCount, retryCount);
    pieces.forEach(({ stage, piece }) => {
      const sent = stage;
      sent.sentAtMs ??= nowMs;
      piece.state = 'running';
      piece.sendCount += 1;
      piece.makerId = maker.id;
    });
    maker.callCount += 1;
    maker.busyUntilMs = nowMs + expectedMs * Math.max(1, maker.slowness);
    maker.promisedBytes += getResultBytes(pieces);
    this.#options.sendCall({
      poolId: upstream.entry.poolId,
      makerId: maker.id,
      makerStartedAtMs: upstream.entry.startedAtMs,
      address: upstream.entry.address,
      items: pieces.map((planned) => createStageItem(planned, nowMs)),
      pieces,
      startedAtMs: nowMs,
      expectedMs,
      timeoutMs: getTimeoutMs(expectedMs, maker),
    });
  }

  /** Reserves memory for results with unknown handles, which exist until they expire. */
  #reserveUnknown({ makerId }: StageCall, bytes: number, expiresAtMs: number): void {
    this.#unknownCount += 1;
    this.#makers.hold(makerId, `unknown ${this.#unknownCount}`, bytes, expiresAtMs);
  }

  #finishPiece(
    call: StageCall,
    { job, stage, piece }: PlannedPiece,
    outcome: PieceOutcome | undefined,
    nowMs: number,
  ): void {
    if (outcome?.kind === 'result') {
      const expiresAtMs = nowMs + this.#getResultTtlMs(call);
      this.#makers.hold(call.makerId, outcome.handle, stage.resultBytes, expiresAtMs);
      piece.state = 'done';
      piece.handle = outcome.handle;
      recordDone(stage, nowMs);
      if (this.#groups.get(getGroupKey(job))?.jobs.has(job) !== true) {
        this.#results.releasePiece(piece);
      } else if (isStageDone(stage)) {
        this.#results.releaseUnneeded(job);
      }
      return;
    }
    const failure = outcome?.failure ?? PIECE_FAILURE.failed;
    resetPiece(piece, failure);
    if (failure === PIECE_FAILURE.inputGone) {
      stage.after.forEach((index) => job.stages[index]?.pieces.forEach((needed) => {
        this.#results.releasePiece(needed);
      }));
      this.reopenMissing(job);
    }
  }

  #getResultTtlMs({ poolId }: StageCall): number {
    return this.#options.directory.configuration?.pools.get(poolId)?.batch?.resultTtlMs ?? 0;
  }
}
