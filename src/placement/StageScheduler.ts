import type { Directory, KnownUpstream } from '../directory/Directory.ts';
import type { BatchLimits, ServingPool } from '../directory/ServingConfiguration.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import { MakerTable, type MakerRecord } from './MakerTable.ts';
import {
  isStageDone, isStageOpen, type JobPiece, type JobStage, type PlacementJob,
} from './PlacementJob.ts';
import {
  compareGroups, planBatches, type BusyMaker, type PieceGroup, type PlannedPiece,
} from './planBatches.ts';
import {
  PIECE_FAILURE, type PieceOutcome, type StageCall, type StageItem, type StageOutcome,
} from './StageCall.ts';

/** What the scheduler needs from outside. */
export interface StageSchedulerOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  /** @param call - to be sent now; its end comes back through `finishCall` */
  readonly sendCall: (call: StageCall) => void;
  /** Frees results at the upstream that keeps them; the end comes back through `noteFreed`. */
  readonly sendFree: (makerId: UpstreamId, address: string, handles: readonly string[]) => void;
}

/** A call is given up after this multiple of the time its pool's figures say. */
const TIMEOUT_FACTOR = 3;
/** Time a call may take in any case. */
const MIN_TIMEOUT_MS = 1_000;
/** Pause before an upstream without room is asked again. */
const NO_ROOM_PAUSE_MS = 60;
/** Part of the room that is planned with, since results are only about as large as declared. */
const ROOM_PART = 0.95;
/** Upstreams slower than this multiple of the fastest one are used when nothing better is idle. */
const SLOW_FACTOR = 2;

function createItem({ job, stage, piece }: PlannedPiece, nowMs: number): StageItem {
  const inputs = stage.after.flatMap((index) => job.stages[index]?.pieces ?? [])
    .flatMap((needed) => (needed.handle === null ? [] : [needed.handle]));
  return {
    requestId: job.request.requestId,
    stageIndex: stage.index,
    pieceIndex: piece.index,
    remainingMs: Math.max(1, Math.floor(job.deadlineAtMs - nowMs)),
    key: stage.after.length === 0 ? job.request.pieceKey : null,
    inputs,
  };
}

function getTimeoutMs(expectedMs: number, maker: MakerRecord): number {
  return Math.max(MIN_TIMEOUT_MS, expectedMs * TIMEOUT_FACTOR * Math.max(1, maker.slowness));
}

function getResultBytes(pieces: readonly PlannedPiece[]): number {
  return pieces.reduce((sum, { stage }) => sum + stage.resultBytes, 0);
}

function getConsumers(job: PlacementJob, stage: JobStage): JobStage[] {
  return job.stages.filter((other) => other.after.includes(stage.index));
}

/** Bytes that one piece of a stage takes in. */
function getInputBytes(job: PlacementJob, stage: JobStage): number {
  return stage.after.reduce((sum, index) => {
    const needed = job.stages[index];
    return sum + (needed === undefined ? 0 : needed.pieces.length * needed.resultBytes);
  }, 0);
}

/** Bytes that are taken in of a stage's results by all that need them. */
function getOutputBytes(job: PlacementJob, stage: JobStage): number {
  const ownBytes = stage.pieces.length * stage.resultBytes;
  const consumers = getConsumers(job, stage);
  const pieceCount = consumers.reduce((sum, consumer) => sum + consumer.pieces.length, 0);
  return ownBytes * (consumers.length === 0 ? 1 : pieceCount);
}

function resetPiece(piece: JobPiece): void {
  piece.state = 'waiting';
  piece.handle = null;
  piece.makerId = null;
}

/** Forms the calls of batched stages and places them on upstreams. */
export class StageScheduler {
  readonly #options: StageSchedulerOptions;

  readonly #makers = new MakerTable();

  readonly #jobs = new Set<PlacementJob>();

  /** What `getLeastMs` said, for jobs none of whose pieces has ended or been opened since. */
  readonly #leastMs = new Map<PlacementJob, number>();

  /** Where upstreams of a pool have least to do, for the run that is under way. */
  readonly #leastLoaded = new Map<PoolId, string | null>();

  /** Calls without answer; names the room that their results take. */
  #unknownCount = 0;

  readonly #toFree = new Map<UpstreamId, string[]>();

  /**
   * @param options - time, what is known of upstreams, and how calls go out
   */
  constructor(options: StageSchedulerOptions) {
    this.#options = options;
  }

  /** @param job - a request whose stages are to be done */
  add(job: PlacementJob): void {
    this.#jobs.add(job);
  }

  /** @param job - a request that needs no stage any more; its results are freed */
  remove(job: PlacementJob): void {
    this.#jobs.delete(job);
    this.#leastMs.delete(job);
    job.stages.forEach((stage) => this.#freeStage(stage));
  }

  /**
   * @param job - a request that is waiting for its stages
   * @returns the least time that its stages still take, with no wait
   */
  getLeastMs(job: PlacementJob): number {
    const known = this.#leastMs.get(job);
    if (known !== undefined) {
      return known;
    }
    const leastMs = this.#sumLevels(job, (limits, pieceCount) => limits.callMs
      + limits.pieceMs * Math.min(pieceCount, limits.maxPieces)
      + (Math.ceil(pieceCount / limits.maxPieces) - 1) * limits.callMs);
    this.#leastMs.set(job, leastMs);
    return leastMs;
  }

  /**
   * @param job - a request, added or not
   * @returns the time its stages take behind what waits already
   */
  getExpectedMs(job: PlacementJob): number {
    const leastMs = this.getLeastMs(job);
    const nowMs = this.#options.clock.getMonotonicMs();
    const getMs = (isFirst: (other: PlacementJob) => boolean): number => leastMs
      + this.#sumLevels(job, (_limits, _count, poolId) => this.#getBacklogMs(poolId, isFirst));
    const onTimeMs = getMs((other) => other.request.priority <= job.request.priority
      && nowMs + this.getLeastMs(other) <= other.onTimeAtMs);
    return nowMs + onTimeMs <= job.onTimeAtMs ? onTimeMs : getMs(() => true);
  }

  /**
   * @param upstreamId - an upstream that is gone
   */
  forgetMaker(upstreamId: UpstreamId): void {
    this.#makers.forget(upstreamId);
    this.#toFree.delete(upstreamId);
    this.#jobs.forEach((job) => this.reopenLapsed(job));
  }

  /** @param handles - results that their upstream has let go */
  noteFreed(handles: readonly string[]): void {
    this.#makers.noteGone(handles);
  }

  /**
   * Does pieces again whose results are needed and don't stand any more.
   *
   * @param job - a request whose stages are not all done
   */
  reopenLapsed(job: PlacementJob): void {
    this.#leastMs.delete(job);
    // A stage comes after those it needs, so that one pass from the end reaches all of them.
    [...job.stages].reverse().forEach((stage) => {
      const consumers = getConsumers(job, stage);
      if (consumers.length === 0 || consumers.some((consumer) => !isStageDone(consumer))) {
        stage.pieces
          .filter((piece) => piece.state === 'done'
            && (piece.handle === null || !this.#makers.isHeld(piece.handle)))
          .forEach(resetPiece);
      }
    });
  }

  /**
   * @param handles - results
   * @returns whether all of them still stand, as far as is known
   */
  areHeld(handles: readonly string[]): boolean {
    return handles.every((handle) => this.#makers.isHeld(handle));
  }

  /**
   * Takes in the end of a call.
   *
   * @param call - the call
   * @param outcome - what became of it
   */
  finishCall(call: StageCall, outcome: StageOutcome): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const maker = this.#makers.get(call.makerId);
    call.pieces.forEach(({ job }) => this.#leastMs.delete(job));
    maker.callCount = Math.max(0, maker.callCount - 1);
    maker.promisedBytes = Math.max(0, maker.promisedBytes - getResultBytes(call.pieces));
    switch (outcome.kind) {
      case 'answered':
        this.#makers.noteSuccess(call.makerId, nowMs - call.startedAtMs, call.expectedMs);
        call.pieces.forEach((planned, index) => {
          this.#finishPiece(call, planned, outcome.pieces[index], nowMs);
        });
        break;
      case 'notRun':
        maker.avoidUntilMs = nowMs + NO_ROOM_PAUSE_MS;
        call.pieces.forEach(({ piece }) => resetPiece(piece));
        break;
      case 'broken':
        this.#makers.noteFailure(call.makerId, nowMs);
        this.#holdUnknown(call, nowMs);
        call.pieces.forEach(({ piece }) => resetPiece(piece));
        break;
      default:
        throw exhaustiveSwitchError(outcome);
    }
  }

  /** Sends what can be sent now, and frees what nobody needs. */
  run(): void {
    this.#makers.expire(this.#options.clock.getMonotonicMs());
    this.#leastLoaded.clear();
    this.#flushFrees();
    const pools = this.#options.directory.configuration?.pools;
    const poolIds = new Set([...this.#jobs]
      .flatMap((job) => job.stages.map((stage) => stage.poolId)));
    poolIds.forEach((poolId) => {
      const pool = pools?.get(poolId);
      if (pool !== undefined && pool.batch !== null) {
        this.#runPool(pool, pool.batch);
      }
    });
  }

  #runPool(pool: ServingPool, limits: BatchLimits): void {
    const idle = this.#getIdleMakers(pool.id, limits);
    if (idle.length === 0) {
      return;
    }
    const groups = this.#getGroups(pool.id).sort(compareGroups);
    const spaces = idle.map(({ upstream, maker }) => ({
      makerId: maker.id,
      failureDomain: upstream.entry.failureDomain,
      maxPieces: limits.maxPieces,
      freeBytes: limits.roomBytes * ROOM_PART - maker.heldBytes - maker.promisedBytes,
    }));
    planBatches(groups, spaces, this.#getBusyMakers(pool.id, limits)).forEach((batch) => {
      const found = idle.find(({ maker }) => maker.id === batch.makerId);
      if (found !== undefined) {
        this.#send(found.upstream, found.maker, limits, batch.pieces);
      }
    });
  }

  #getGroups(poolId: PoolId): PieceGroup[] {
    const nowMs = this.#options.clock.getMonotonicMs();
    return [...this.#jobs].flatMap((job) => job.stages
      .filter((stage) => stage.poolId === poolId && isStageOpen(job, stage))
      .map((stage) => {
        const doneAtMs = nowMs + this.getLeastMs(job);
        const canBeOnTime = doneAtMs <= job.onTimeAtMs;
        return {
          job,
          stage,
          pieces: stage.pieces.filter((piece) => piece.state === 'waiting'),
          canBeOnTime,
          slackMs: (canBeOnTime ? job.onTimeAtMs : job.deadlineAtMs) - doneAtMs,
          failureDomain: this.#getDomain(job, stage),
          inputBytes: getInputBytes(job, stage) * stage.pieces.length,
        };
      })
      .filter((group) => group.pieces.length > 0));
  }

  #getBusyMakers(poolId: PoolId, limits: BatchLimits): BusyMaker[] {
    const nowMs = this.#options.clock.getMonotonicMs();
    return this.#options.directory.getUsable(poolId).flatMap(({ entry }) => {
      const maker = this.#makers.get(entry.id);
      return maker.callCount < limits.callSlots || maker.avoidUntilMs > nowMs ? [] : [{
        failureDomain: entry.failureDomain, freeInMs: Math.max(0, maker.busyUntilMs - nowMs),
      }];
    });
  }

  /** Where a stage's pieces are best made; null for anywhere. */
  #getDomain(job: PlacementJob, stage: JobStage): string | null {
    const inputDomain = this.#getInputDomain(job, stage);
    const consumers = getConsumers(job, stage);
    const inputBytes = getInputBytes(job, stage) * stage.pieces.length;
    const outputBytes = getOutputBytes(job, stage);
    if (consumers.length === 0) {
      return outputBytes > inputBytes ? job.preferredDomain : inputDomain ?? job.preferredDomain;
    }
    const [consumer] = consumers;
    return consumer !== undefined && outputBytes > inputBytes
      ? this.#getLeastLoadedDomain(consumer.poolId)
      : inputDomain;
  }

  /** The failure domain whose upstreams of a pool have least to do with what stands there. */
  #getLeastLoadedDomain(poolId: PoolId): string | null {
    const known = this.#leastLoaded.get(poolId);
    if (known !== undefined) {
      return known;
    }
    const domain = this.#findLeastLoadedDomain(poolId);
    this.#leastLoaded.set(poolId, domain);
    return domain;
  }

  #findLeastLoadedDomain(poolId: PoolId): string | null {
    const makerCounts = new Map<string, number>();
    this.#options.directory.getUsable(poolId).forEach(({ entry }) => {
      makerCounts.set(entry.failureDomain, (makerCounts.get(entry.failureDomain) ?? 0) + 1);
    });
    const loads = new Map<string, number>();
    this.#jobs.forEach((job) => job.stages
      .filter((stage) => stage.poolId === poolId && !isStageDone(stage))
      .forEach((stage) => {
        const domain = this.#getInputDomain(job, stage);
        if (domain !== null) {
          loads.set(domain, (loads.get(domain) ?? 0) + stage.pieces.length);
        }
      }));
    const [best] = [...makerCounts]
      .map(([domain, count]) => ({ domain, load: (loads.get(domain) ?? 0) / count }))
      .sort((left, right) => left.load - right.load);
    return best?.domain ?? null;
  }

  /** The failure domain in which most of a stage's inputs stand, or will stand. */
  #getInputDomain(job: PlacementJob, stage: JobStage): string | null {
    const counts = new Map<string, number>();
    stage.after.flatMap((index) => job.stages[index]?.pieces ?? []).forEach(({ makerId }) => {
      const maker = makerId === null ? undefined : this.#options.directory.getUpstream(makerId);
      if (maker !== undefined) {
        const domain = maker.entry.failureDomain;
        counts.set(domain, (counts.get(domain) ?? 0) + 1);
      }
    });
    const [best] = [...counts].sort(([, left], [, right]) => right - left);
    return best?.[0] ?? null;
  }

  #getIdleMakers(
    poolId: PoolId,
    limits: BatchLimits,
  ): { upstream: KnownUpstream; maker: MakerRecord }[] {
    const nowMs = this.#options.clock.getMonotonicMs();
    const usable = this.#options.directory.getUsable(poolId)
      .map((upstream) => ({ upstream, maker: this.#makers.get(upstream.entry.id) }))
      .filter(({ maker }) => maker.avoidUntilMs <= nowMs);
    const fastest = Math.min(...usable.map(({ maker }) => maker.slowness));
    const idle = usable.filter(({ maker }) => maker.callCount < limits.callSlots);
    const brisk = idle.filter(({ maker }) => maker.slowness <= fastest * SLOW_FACTOR);
    return (brisk.length > 0 ? brisk : idle)
      .sort((left, right) => left.maker.heldBytes - right.maker.heldBytes
        || left.maker.slowness - right.maker.slowness);
  }

  #send(
    upstream: KnownUpstream,
    maker: MakerRecord,
    limits: BatchLimits,
    pieces: readonly PlannedPiece[],
  ): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    const expectedMs = limits.callMs + limits.pieceMs * pieces.length;
    pieces.forEach(({ piece }) => {
      piece.state = 'running';
      piece.makerId = maker.id;
    });
    maker.callCount += 1;
    maker.busyUntilMs = nowMs + expectedMs * Math.max(1, maker.slowness);
    maker.promisedBytes += getResultBytes(pieces);
    this.#options.sendCall({
      poolId: upstream.entry.poolId,
      makerId: maker.id,
      address: upstream.entry.address,
      items: pieces.map((planned) => createItem(planned, nowMs)),
      pieces,
      startedAtMs: nowMs,
      expectedMs,
      timeoutMs: getTimeoutMs(expectedMs, maker),
    });
  }

  /** Results whose answer was lost take up room under handles that nobody knows. */
  #holdUnknown(call: StageCall, nowMs: number): void {
    const limits = this.#options.directory.configuration?.pools.get(call.poolId)?.batch;
    this.#unknownCount += 1;
    this.#makers.hold(
      call.makerId,
      `unknown ${this.#unknownCount}`,
      getResultBytes(call.pieces),
      nowMs + (limits?.resultTtlMs ?? 0),
    );
  }

  #finishPiece(
    call: StageCall,
    { job, stage, piece }: PlannedPiece,
    outcome: PieceOutcome | undefined,
    nowMs: number,
  ): void {
    if (outcome?.kind === 'result') {
      const limits = this.#options.directory.configuration?.pools.get(call.poolId)?.batch;
      const ttlMs = limits?.resultTtlMs ?? 0;
      this.#makers.hold(call.makerId, outcome.handle, stage.resultBytes, nowMs + ttlMs);
      piece.state = 'done';
      piece.handle = outcome.handle;
      if (!this.#jobs.has(job)) {
        this.#freePiece(piece);
      } else if (isStageDone(stage)) {
        this.#freeUnneeded(job);
      }
      return;
    }
    resetPiece(piece);
    const failure = outcome?.failure ?? PIECE_FAILURE.failed;
    if (failure === PIECE_FAILURE.inputGone) {
      stage.after.forEach((index) => job.stages[index]?.pieces.forEach((needed) => {
        this.#freePiece(needed);
      }));
      this.reopenLapsed(job);
    } else if (failure === PIECE_FAILURE.noRoom) {
      this.#makers.get(call.makerId).avoidUntilMs = nowMs + NO_ROOM_PAUSE_MS;
    }
  }

  #freeUnneeded(job: PlacementJob): void {
    job.stages.forEach((stage) => {
      const consumers = getConsumers(job, stage);
      if (consumers.length > 0 && consumers.every(isStageDone)) {
        this.#freeStage(stage);
      }
    });
  }

  #freeStage(stage: JobStage): void {
    stage.pieces.forEach((piece) => this.#freePiece(piece));
  }

  #freePiece(piece: JobPiece): void {
    if (piece.handle === null) {
      return;
    }
    const makerId = this.#makers.release(piece.handle);
    if (makerId !== null) {
      this.#toFree.set(makerId, [...this.#toFree.get(makerId) ?? [], piece.handle]);
    }
    piece.handle = null;
  }

  #flushFrees(): void {
    this.#toFree.forEach((handles, makerId) => {
      const upstream = this.#options.directory.getUpstream(makerId);
      if (upstream !== undefined) {
        this.#options.sendFree(makerId, upstream.entry.address, handles);
      }
    });
    this.#toFree.clear();
  }

  /** Sums a figure over the levels that are open; the stages of one level run side by side. */
  #sumLevels(
    job: PlacementJob,
    getMs: (limits: BatchLimits, pieceCount: number, poolId: PoolId) => number,
  ): number {
    const levels = new Map<number, number>();
    job.stages.forEach((stage) => {
      const openCount = stage.pieces.filter((piece) => piece.state !== 'done').length;
      const limits = this.#options.directory.configuration?.pools.get(stage.poolId)?.batch;
      if (openCount > 0 && limits !== undefined && limits !== null) {
        const ms = getMs(limits, openCount, stage.poolId);
        levels.set(stage.height, Math.max(levels.get(stage.height) ?? 0, ms));
      }
    });
    return [...levels.values()].reduce((sum, ms) => sum + ms, 0);
  }

  /** Time until a pool has done the waiting pieces of some requests. */
  #getBacklogMs(poolId: PoolId, isCounted: (job: PlacementJob) => boolean): number {
    const limits = this.#options.directory.configuration?.pools.get(poolId)?.batch;
    const makerCount = this.#options.directory.getUsable(poolId).length;
    if (limits === undefined || limits === null || makerCount === 0) {
      return 0;
    }
    const waitingCount = [...this.#jobs]
      .filter(isCounted)
      .flatMap((job) => job.stages.filter((stage) => stage.poolId === poolId))
      .reduce((sum, stage) => (
        sum + stage.pieces.filter((piece) => piece.state === 'waiting').length
      ), 0);
    const fullCallMs = limits.callMs + limits.pieceMs * limits.maxPieces;
    return (waitingCount / (limits.maxPieces * makerCount * limits.callSlots)) * fullCallMs;
  }
}
