import type { Directory } from '../directory/Directory.ts';
import type { PoolId } from '../lib/ids.ts';
import { RetryBudget } from '../retries/RetryBudget.ts';
import type { Clock } from '../time/Clock.ts';

/** Bounds that hold for all entry hosts together. */
export interface SharedBounds {
  /** Repeats as a fraction of the requests for a pool. */
  readonly retryRatio: number;
  /** Repeats within a window that are allowed at any load. */
  readonly retrySlack: number;
  readonly retryWindowMs: number;
  /** Multiple of what a cold upstream bears that it may get in a second. */
  readonly coldOvershoot: number;
  /** Requests beyond that which it may get in a second. */
  readonly coldSlack: number;
}

const MS_PER_SECOND = 1_000;
/** Part of a window's fixed allowance that may be used at one moment; the rest comes with time. */
const BURST_PART = 0.5;

/** This host's parts of the bounds that all hosts share. */
export class HostShares {
  readonly #clock: Clock;

  readonly #directory: Directory;

  readonly #bounds: SharedBounds;

  readonly #budgets = new Map<PoolId, RetryBudget>();

  #budgetHostCount = 0;

  /**
   * @param clock - the time
   * @param directory - knows how many hosts there are
   * @param bounds - the bounds in all
   */
  constructor(clock: Clock, directory: Directory, bounds: SharedBounds) {
    this.#clock = clock;
    this.#directory = directory;
    this.#bounds = bounds;
  }

  /**
   * @param poolId - a pool
   * @returns this host's part of the pool's retry budget
   */
  getRetryBudget(poolId: PoolId): RetryBudget {
    const hostCount = this.#directory.largestHostCount;
    if (hostCount !== this.#budgetHostCount) {
      this.#budgetHostCount = hostCount;
      this.#budgets.clear();
    }
    const known = this.#budgets.get(poolId);
    if (known !== undefined) {
      return known;
    }
    const slack = this.#bounds.retrySlack / hostCount;
    const budget = new RetryBudget({ getNowMs: () => this.#clock.getMonotonicMs() }, {
      ratio: this.#bounds.retryRatio,
      burst: Math.max(1, slack * BURST_PART),
      floorPerSecond: (slack * (1 - BURST_PART) * MS_PER_SECOND) / this.#bounds.retryWindowMs,
    });
    this.#budgets.set(poolId, budget);
    return budget;
  }

  /**
   * @param poolId - a pool
   * @returns requests a second that one of its upstreams may get from this host; 0 for no bound
   */
  getColdShare(poolId: PoolId): number {
    const perSecond = this.#directory.configuration?.pools.get(poolId)?.coldRequestsPerSecond ?? 0;
    if (perSecond === 0) {
      return 0;
    }
    const allowed = perSecond * this.#bounds.coldOvershoot + this.#bounds.coldSlack;
    return Math.max(1, Math.floor(allowed / this.#directory.largestHostCount));
  }
}
