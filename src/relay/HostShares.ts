import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import type { PieceRetryBudget } from '../placement/PieceRetryBudget.ts';
import type { ColdStartBounds } from '../quotas/SendQuotas.ts';
import type { RetryReservation } from '../retries/RetryWindow.ts';
import type { Clock } from '../time/Clock.ts';
import type { RelayMetrics } from './RelayMetrics.ts';
import type { RetryRequest } from './RetryDecision.ts';
import { RetryWindowTable } from './RetryWindowTable.ts';

/** Limits that apply to all entry hosts together. */
export interface SharedBounds extends ColdStartBounds {
  /** Retries as a fraction of the requests to a pool. */
  readonly retryRatio: number;
  /** Retries within a window that are allowed at any load. */
  readonly retrySlack: number;
  readonly retryWindowMs: number;
}

/** Options of {@link HostShares}. */
export interface HostSharesOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  /** Provides the number of hosts. */
  readonly directory: Directory;
  /** The limits for all hosts together. */
  readonly bounds: SharedBounds;
  /** Logs each decision on a retry. */
  readonly logger: Logger;
  readonly metrics: RelayMetrics;
}

/**
 * Fraction of the slack that is divided among the hosts. The rest is for hosts that join while
 * disconnected hosts still divide by the smaller number.
 */
const SHARED_FRACTION = 0.75;
/**
 * Time, in windows, between the registration of this host and the use of its share of the slack. By
 * then the retries of the previous process have left the window, and other hosts count this one.
 */
const SETTLE_WINDOWS = 1.2;

/** Provides this host's shares of the limits that apply to all hosts together. */
export class HostShares implements PieceRetryBudget {
  readonly #options: HostSharesOptions;

  /** Windows for retries of requests and generations. */
  readonly #requestRetries: RetryWindowTable;

  /** Windows for retries of pieces of requests that this host places. */
  readonly #pieceRetries: RetryWindowTable;

  /** Time when this host first appeared in the directory; null before. */
  #registeredAtMs: number | null = null;

  /**
   * @param options - see {@link HostSharesOptions}
   */
  constructor(options: HostSharesOptions) {
    this.#options = options;
    this.#requestRetries = this.#createRetryWindows();
    this.#pieceRetries = this.#createRetryWindows();
    options.directory.onChange((change) => {
      if (change.kind === 'host' && change.entry.id === options.hostId) {
        this.#registeredAtMs ??= options.clock.getMonotonicMs();
      }
    });
  }

  /** @param poolId - the pool of a new request */
  recordRequest(poolId: PoolId): void {
    this.#requestRetries.get(poolId).recordFirstSends();
  }

  /**
   * Reserves a retry from this host's share.
   *
   * @param request - the retry to decide on
   * @returns the reserved retry; null when the share is used up
   */
  tryRetry(request: RetryRequest): RetryReservation | null {
    const window = this.#requestRetries.get(request.poolId);
    const leftBefore = window.remaining;
    const permit = window.tryReserve();
    this.#recordDecision(request, permit !== null, leftBefore, window.remaining);
    return permit;
  }

  /** @inheritdoc */
  recordSent(
    poolId: PoolId,
    upstreamId: UpstreamId,
    firstCount: number,
    repeatCount: number,
  ): void {
    const window = this.#pieceRetries.get(poolId);
    window.recordFirstSends(firstCount);
    if (repeatCount > 0) {
      window.tryReserve(repeatCount)?.trySend(upstreamId);
    }
  }

  /** @inheritdoc */
  recordAnswered(poolId: PoolId, upstreamId: UpstreamId): void {
    this.#requestRetries.get(poolId).recordAnswer(upstreamId);
    this.#pieceRetries.get(poolId).recordAnswer(upstreamId);
  }

  /** @inheritdoc */
  getRetriesLeft(poolId: PoolId): number {
    return this.#pieceRetries.get(poolId).remaining;
  }

  #createRetryWindows(): RetryWindowTable {
    const { bounds, clock } = this.#options;
    return new RetryWindowTable({
      clock,
      windowMs: bounds.retryWindowMs,
      ratio: bounds.retryRatio,
      getFixedAllowance: () => this.#getFixedAllowance(),
    });
  }

  #getFixedAllowance(): number {
    const { bounds, clock, directory } = this.#options;
    const settledAtMs = (this.#registeredAtMs ?? Infinity) + bounds.retryWindowMs * SETTLE_WINDOWS;
    return clock.getMonotonicMs() < settledAtMs
      ? 0
      : (bounds.retrySlack * SHARED_FRACTION) / directory.largestHostCount;
  }

  #recordDecision(
    request: RetryRequest,
    isAllowed: boolean,
    leftBefore: number,
    leftAfter: number,
  ): void {
    const { logger, metrics, directory } = this.#options;
    const decision = {
      ...request,
      isAllowed,
      leftBefore,
      leftAfter,
      fixedAllowance: Number(this.#getFixedAllowance().toFixed(2)),
      hostCount: directory.largestHostCount,
      directoryAgeMs: directory.ageMs === null ? null : Math.round(directory.ageMs),
    };
    metrics.recordRetry(decision);
    logger.info({ event: 'retryDecided', ...decision }, 'decided whether to allow a retry');
  }
}
