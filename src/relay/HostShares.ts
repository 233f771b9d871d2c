import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { PoolId } from '../lib/ids.ts';
import { RetryBudget } from '../retries/RetryBudget.ts';
import type { Clock } from '../time/Clock.ts';
import type { RelayMetrics } from './RelayMetrics.ts';
import type { RepeatAsk } from './RepeatDecision.ts';

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

/** What the shares are made of. */
export interface HostSharesParts {
  readonly clock: Clock;
  /** Knows how many hosts there are. */
  readonly directory: Directory;
  /** The bounds in all. */
  readonly bounds: SharedBounds;
  /** Gets a line for each repeat that is asked for. */
  readonly logger: Logger;
  readonly metrics: RelayMetrics;
}

/** This host's parts of the bounds that all hosts share. */
export class HostShares {
  readonly #parts: HostSharesParts;

  readonly #budgets = new Map<PoolId, RetryBudget>();

  #budgetHostCount = 0;

  /**
   * @param parts - see {@link HostSharesParts}
   */
  constructor(parts: HostSharesParts) {
    this.#parts = parts;
  }

  /** @param poolId - a pool that is asked for a request for the first time */
  noteOffered(poolId: PoolId): void {
    this.#getBudget(poolId).noteOffered();
  }

  /**
   * Takes a repeat out of this host's part of a pool's budget.
   *
   * @param ask - what is to be sent once more
   * @returns whether it may be sent
   */
  tryRepeat(ask: RepeatAsk): boolean {
    const budget = this.#getBudget(ask.poolId);
    const availableBefore = budget.available;
    const isAllowed = budget.tryRetry({ isRepeatable: true, remainingMs: 0, medianMs: 0 });
    const { logger, metrics, directory } = this.#parts;
    const decision = {
      ...ask,
      isAllowed,
      availableBefore,
      availableAfter: budget.available,
      hostCount: directory.largestHostCount,
      directoryAgeMs: directory.ageMs,
    };
    metrics.noteRepeat(decision);
    logger.info({ event: 'repeat', ...decision }, 'decided on a repeat');
    return isAllowed;
  }

  #getBudget(poolId: PoolId): RetryBudget {
    const hostCount = this.#parts.directory.largestHostCount;
    if (hostCount !== this.#budgetHostCount) {
      this.#budgetHostCount = hostCount;
      this.#budgets.clear();
    }
    const known = this.#budgets.get(poolId);
    if (known !== undefined) {
      return known;
    }
    const { bounds, clock } = this.#parts;
    const slack = bounds.retrySlack / hostCount;
    const budget = new RetryBudget({ getNowMs: () => clock.getMonotonicMs() }, {
      ratio: bounds.retryRatio,
      burst: Math.max(1, slack * BURST_PART),
      floorPerSecond: (slack * (1 - BURST_PART) * MS_PER_SECOND) / bounds.retryWindowMs,
    });
    this.#budgets.set(poolId, budget);
    return budget;
  }

  /**
   * @param poolId - a pool
   * @returns requests a second that one of its upstreams may get from this host; 0 for no bound
   */
  getColdShare(poolId: PoolId): number {
    const { bounds, directory } = this.#parts;
    const perSecond = directory.configuration?.pools.get(poolId)?.coldRequestsPerSecond ?? 0;
    if (perSecond === 0) {
      return 0;
    }
    const allowed = perSecond * bounds.coldOvershoot + bounds.coldSlack;
    return Math.max(1, Math.floor(allowed / directory.largestHostCount));
  }
}
