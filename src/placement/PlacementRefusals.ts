import type { Logger } from 'pino';
import type { Directory, KnownUpstream } from '../directory/Directory.ts';
import type { Clock } from '../time/Clock.ts';
import type { EnginePermits } from './EnginePermits.ts';
import type { EngineStarts } from './EngineStarts.ts';
import type { FairShares } from '../shares/FairShares.ts';
import type { PlacementJob } from './PlacementJob.ts';
import { REFUSAL, type Refusal } from './PlacementRequest.ts';
import { ReturnSchedule } from './ReturnSchedule.ts';
import type { WaitForecast } from './StageForecast.ts';
import type { StageScheduler } from './StageScheduler.ts';

/** Dependencies of {@link PlacementRefusals}. */
export interface PlacementRefusalsOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly logger: Logger;
  readonly scheduler: StageScheduler;
  /** How long generations take to start at an engine. */
  readonly starts: Pick<EngineStarts, 'getExpectedMs'>;
  readonly permits: EnginePermits;
  /** The shares of client accounts. */
  readonly shares: FairShares;
  /** The requests that wait or are placed. */
  readonly jobs: ReadonlyMap<string, PlacementJob>;
}

/** Longest retry delay for a caller when all engines advertise limits. */
const MAX_LIMITED_RETRY_AFTER_MS = 20_000;
/** Retry delay for a request whose pieces were in too many broken calls. */
const BROKEN_CALLS_RETRY_AFTER_MS = 5_000;
/** Retry delay for a request that no engine or host can hold; it fits only if they are replaced. */
const TOO_LARGE_RETRY_AFTER_MS = 60_000;
/** Retry delay for a request whose pieces find no room beside those that wait. */
const NO_ROOM_RETRY_AFTER_MS = 1_000;
/** Shortest retry delay for a refused caller. */
const MIN_RETRY_AFTER_MS = 100;

/** Refuses requests that can't be placed, with a reason and a retry delay, and logs held ones. */
export class PlacementRefusals {
  readonly #options: PlacementRefusalsOptions;

  /** By placement group and engine pool, as the work of one does not delay that of another. */
  readonly #returns = new Map<string, ReturnSchedule>();

  /**
   * @param options - see {@link PlacementRefusalsOptions}
   */
  constructor(options: PlacementRefusalsOptions) {
    this.#options = options;
  }

  /**
   * Records that a request waits for a permit.
   *
   * @param job - the request
   * @param engines - its engines, all of which advertise limits
   */
  recordHeld(job: PlacementJob, engines: readonly KnownUpstream[]): void {
    const held = job;
    if (!held.isHeldByLimit) {
      held.isHeldByLimit = true;
      this.#options.logger.info({
        event: 'placementHeld',
        requestId: job.request.requestId,
        upstreamIds: engines.map(({ entry }) => entry.id),
        waitMs: Math.round(this.#options.permits.getWaitMs(job, [])),
      }, 'a request waits for a permit, since all its engines advertise limits');
    }
  }

  /**
   * Refuses a request whose stages can't be done in time.
   *
   * @param job - the request
   * @param forecast - the time that its stages are expected to take
   * @param allowedMs - the time that its stages may take
   */
  refuseTooLate(job: PlacementJob, forecast: WaitForecast, allowedMs: number): void {
    const { clock, scheduler } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const key = `${job.request.domains[0] ?? ''} ${job.request.poolId}`;
    const returns = this.#returns.get(key) ?? new ReturnSchedule();
    this.#returns.set(key, returns);
    const retryAfterMs = returns.add({
      priority: job.request.priority,
      roomInMs: forecast.expectedMs - allowedMs,
      workMs: scheduler.getOccupancyMs(job),
      usefulMs: job.deadlineAtMs - nowMs - scheduler.getLeastMs(job),
    }, nowMs);
    this.#refuse(job, REFUSAL.tooLate, retryAfterMs, forecast, allowedMs);
  }

  /**
   * Refuses a request that would be late, and whose client account has taken more than its share.
   *
   * @param job - the request
   * @param forecast - the time that its stages are expected to take
   */
  refuseOverShare(job: PlacementJob, forecast: WaitForecast): void {
    const waitMs = this.#options.shares.getRetryAfterMs(job);
    this.#refuse(job, REFUSAL.overShare, waitMs, forecast);
  }

  /** @param job - a request that gets no permit in time, since all its engines advertise limits */
  refuseLimited(job: PlacementJob): void {
    const waitMs = this.#options.permits.getWaitMs(job, this.#options.jobs.values());
    this.#refuse(job, REFUSAL.limited, Math.min(MAX_LIMITED_RETRY_AFTER_MS, waitMs));
  }

  /** @param job - a request that has waited until too little time was left */
  refuseExpired(job: PlacementJob): void {
    if (job.state !== 'awaitingEngine') {
      this.#refuse(job, REFUSAL.tooLate, MIN_RETRY_AFTER_MS);
    } else if (job.isHeldByLimit) {
      this.refuseLimited(job);
    } else {
      this.#refuse(job, REFUSAL.noEngine, MIN_RETRY_AFTER_MS);
    }
  }

  /** @param job - a request with a piece that is not sent again, since its calls broke */
  refuseCrashing(job: PlacementJob): void {
    this.#refuse(job, REFUSAL.brokenCalls, BROKEN_CALLS_RETRY_AFTER_MS);
  }

  /** @param job - a request that exceeds the memory of an engine */
  refuseTooLarge(job: PlacementJob): void {
    this.#refuse(job, REFUSAL.tooLarge, TOO_LARGE_RETRY_AFTER_MS);
  }

  /** @param job - a request whose pieces exceed the memory of this host */
  refuseTooManyPieces(job: PlacementJob): void {
    this.#refuse(job, REFUSAL.tooManyPieces, TOO_LARGE_RETRY_AFTER_MS);
  }

  /** @param job - a request whose pieces find no room beside those of the requests that are held */
  refuseNoRoomForPieces(job: PlacementJob): void {
    this.#refuse(job, REFUSAL.tooManyPieces, NO_ROOM_RETRY_AFTER_MS);
  }

  #refuse(
    job: PlacementJob,
    reason: Refusal,
    retryAfterMs: number,
    forecast: WaitForecast | null = null,
    allowedMs: number | null = null,
  ): void {
    const {
      clock, directory, logger, scheduler, starts, permits, shares, jobs,
    } = this.#options;
    const waitMs = Math.max(MIN_RETRY_AFTER_MS, retryAfterMs);
    logger.info({
      event: 'placementRefused',
      requestId: job.request.requestId,
      reason,
      kind: job.request.kind,
      priority: job.request.priority,
      // Left until it has to be sent to an engine to meet its target.
      onTimeMs: Math.round(job.onTimeAtMs - clock.getMonotonicMs()),
      startMs: Math.round(starts.getExpectedMs(job.request.kind)),
      state: job.state,
      remainingMs: Math.round(job.deadlineAtMs - clock.getMonotonicMs()),
      leastMs: Math.round(scheduler.getLeastMs(job)),
      firstMs: forecast === null ? null : Math.round(forecast.firstMs),
      expectedMs: Math.round(forecast?.expectedMs ?? scheduler.getLeastMs(job)),
      allowedMs: allowedMs === null ? null : Math.round(allowedMs),
      ...scheduler.describeQueue(job),
      engineWaitMs: Math.round(permits.getWaitMs(job, jobs.values())),
      ...shares.describe(job),
      version: directory.configuration?.version ?? null,
      waitingCount: [...jobs.values()].filter(({ state }) => state !== 'placed').length,
    }, 'refused to place a request');
    shares.recordRefused(job, waitMs);
    job.answer({ kind: 'refused', reason, retryAfterMs: waitMs });
  }
}
