import type { Directory } from '../directory/Directory.ts';
import type { BatchLimits } from '../directory/ServingConfiguration.ts';
import type { PoolId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { GroupJobs } from './GroupJobs.ts';
import { countOpenPieces, type PlacementJob } from './PlacementJob.ts';
import type { PlacementRates } from './PlacementRates.ts';
import { comparePrecedence, getPrecedence } from './Precedence.ts';

const MS_PER_SECOND = 1_000;

/** Dependencies of a {@link StageForecast}. */
export interface StageForecastOptions {
  /** The source of the current time. */
  readonly clock: Clock;
  /** The configured batch limits of the pools, and their upstreams. */
  readonly directory: Directory;
  /** The call rates of upstreams that advertise limits. */
  readonly rates: PlacementRates;
}

/** The requests of one priority class that wait for stages. */
export interface WaitingClass {
  readonly priority: number;
  readonly count: number;
  /** How many of them can still be on time. */
  readonly onTimeCount: number;
}

/** How long the stages of a request take. */
export interface WaitForecast {
  /** Behind the requests that go before it while it can be on time. */
  readonly firstMs: number;
  /** The same, or if that is too late to be on time, behind those that go before a late one. */
  readonly expectedMs: number;
}

/**
 * Estimates how long the stages of a request still take.
 *
 * Load pattern: a burst that exceeds the capacity of the pools. Requests that can't be done behind
 * those already waiting are refused at once; without an estimate they would expire in the queue,
 * after work on their first stages was wasted.
 */
export class StageForecast {
  readonly #clock: Clock;

  readonly #directory: Directory;

  /**
   * Cached values of `getLeastMs`, for jobs none of whose pieces has ended or been reset since. A
   * refused job is never invalidated, so that the cache must not keep it.
   */
  readonly #leastMs = new WeakMap<PlacementJob, number>();

  readonly #rates: PlacementRates;

  /**
   * @param options - see {@link StageForecastOptions}
   */
  constructor({ clock, directory, rates }: StageForecastOptions) {
    this.#clock = clock;
    this.#directory = directory;
    this.#rates = rates;
  }

  /** @param job - a request that is gone, or one of whose pieces has ended or been reset */
  invalidate(job: PlacementJob): void {
    this.#leastMs.delete(job);
  }

  /**
   * @param job - a request that waits for its stages
   * @returns the time that its remaining stages take without any wait
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
   * @param job - a request, in the group or not
   * @param group - the requests that wait already
   * @returns the time that its stages take behind those of them that go before it
   */
  getForecast(job: PlacementJob, group: GroupJobs): WaitForecast {
    const firstMs = this.#getMsBehind(job, group, true);
    const canBeOnTime = this.#clock.getMonotonicMs() + firstMs <= job.onTimeAtMs;
    return {
      firstMs,
      expectedMs: canBeOnTime ? firstMs : this.#getMsBehind(job, group, false),
    };
  }

  /**
   * @param group - the requests that wait already
   * @returns how many wait, by priority class
   */
  describeWaiting(group: GroupJobs): WaitingClass[] {
    const classes = new Map<number, WaitingClass>();
    group.jobs.forEach((job) => {
      const { priority } = job.request;
      const { count, onTimeCount } = classes.get(priority) ?? { count: 0, onTimeCount: 0 };
      classes.set(priority, {
        priority,
        count: count + 1,
        onTimeCount: onTimeCount + Number(this.#getLeastDoneAtMs(job) <= job.onTimeAtMs),
      });
    });
    return [...classes.values()].sort((left, right) => left.priority - right.priority);
  }

  /**
   * @param job - a request, in the group or not
   * @param group - the group whose makers would run its stages
   * @returns the longest time for which its pieces occupy all makers of one pool
   */
  getOccupancyMs(job: PlacementJob, group: GroupJobs): number {
    return Math.max(0, ...job.stages.map((stage) => {
      const { poolId } = stage;
      const limits = this.#directory.configuration?.pools.get(poolId)?.batch;
      const openCount = countOpenPieces(stage);
      const callsPerMs = this.#getCallsPerMs(poolId, group, limits ?? null);
      return limits === undefined || limits === null || callsPerMs === 0
        ? 0
        : openCount / limits.maxPieces / callsPerMs;
    }));
  }

  /** Full calls that the usable makers of a pool finish in a millisecond. */
  #getCallsPerMs(poolId: PoolId, group: GroupJobs, limits: BatchLimits | null): number {
    if (limits === null) {
      return 0;
    }
    const fullCallMs = limits.callMs + limits.pieceMs * limits.maxPieces;
    return group.getUsable(poolId).reduce((sum, { entry }) => sum + Math.min(
      limits.callSlots / fullCallMs,
      this.#rates.getRatePerSecond(entry) / MS_PER_SECOND,
    ), 0);
  }

  #getLeastDoneAtMs(job: PlacementJob): number {
    return this.#clock.getMonotonicMs() + this.getLeastMs(job);
  }

  /** Time behind the requests that go before one that can be on time, or one that can't. */
  #getMsBehind(job: PlacementJob, group: GroupJobs, canBeOnTime: boolean): number {
    const precedence = getPrecedence(job, this.#getLeastDoneAtMs(job), canBeOnTime);
    const waitingCounts = new Map<PoolId, number>();
    group.jobs.forEach((other) => {
      const otherPrecedence = getPrecedence(other, this.#getLeastDoneAtMs(other));
      if (comparePrecedence(otherPrecedence, precedence) <= 0) {
        other.stages.forEach(({ poolId, pieces }) => {
          const count = pieces.reduce((sum, { state }) => sum + Number(state === 'waiting'), 0);
          waitingCounts.set(poolId, (waitingCounts.get(poolId) ?? 0) + count);
        });
      }
    });
    return this.getLeastMs(job) + this.#sumLevels(job, (limits, _count, poolId) => {
      const waitingCount = waitingCounts.get(poolId) ?? 0;
      if (group.getUsable(poolId).length === 0) {
        return this.#directory.getTimeUntilUsableMs(poolId) ?? 0;
      }
      return waitingCount === 0
        ? 0
        : waitingCount / limits.maxPieces / this.#getCallsPerMs(poolId, group, limits);
    });
  }

  /** Sums a time over the levels that are not done; the stages of one level run in parallel. */
  #sumLevels(
    job: PlacementJob,
    getMs: (limits: BatchLimits, pieceCount: number, poolId: PoolId) => number,
  ): number {
    const levels = new Map<number, number>();
    job.stages.forEach((stage) => {
      const openCount = countOpenPieces(stage);
      const limits = this.#directory.configuration?.pools.get(stage.poolId)?.batch;
      if (openCount > 0 && limits !== undefined && limits !== null) {
        const ms = getMs(limits, openCount, stage.poolId);
        levels.set(stage.height, Math.max(levels.get(stage.height) ?? 0, ms));
      }
    });
    return [...levels.values()].reduce((sum, ms) => sum + ms, 0);
  }
}
