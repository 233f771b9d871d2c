import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import type { PieceRetryBudget } from '../placement/PieceRetryBudget.ts';
import type { RetryReservation } from '../retries/RetryWindow.ts';
import type { Clock } from '../time/Clock.ts';
import type { RelayMetrics } from './RelayMetrics.ts';
import type { RetryRequest } from './RetryDecision.ts';
import { RetryWindowTable } from './RetryWindowTable.ts';

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

/** What the shares are made of. */
export interface HostSharesOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  /** Knows how many hosts there are. */
  readonly directory: Directory;
  /** The bounds in all. */
  readonly bounds: SharedBounds;
  /** Gets a line for each repeat that is asked for. */
  readonly logger: Logger;
  readonly metrics: RelayMetrics;
}

/**
 * Part of the slack that the hosts share out. The rest is for hosts that join while others are out
 * of touch and still divide by fewer.
 */
const SHARED_FRACTION = 0.75;
/**
 * How long after this host is seen by all, in windows, it uses its share of the slack. What the
 * process of before has sent is past by then, and the others have made room for a new host.
 */
const SETTLE_WINDOWS = 1.2;

/** This host's parts of the bounds that all hosts share. */
export class HostShares implements PieceRetryBudget {
  readonly #options: HostSharesOptions;

  /** Requests and generations that are sent again. */
  readonly #requestRetries: RetryWindowTable;

  /** Pieces that are sent again for requests which this host places. */
  readonly #pieceRetries: RetryWindowTable;

  /** When this host first stood in the directory; null before. */
  #registeredAtMs: number | null = null;

  /**
   * @param parts - see {@link HostSharesOptions}
   */
  constructor(parts: HostSharesOptions) {
    this.#options = parts;
    this.#requestRetries = this.#createRetryWindows();
    this.#pieceRetries = this.#createRetryWindows();
    parts.directory.onChange((change) => {
      if (change.kind === 'host' && change.entry.id === parts.hostId) {
        this.#registeredAtMs ??= parts.clock.getMonotonicMs();
      }
    });
  }

  /** @param poolId - a pool that is asked for a request for the first time */
  recordRequest(poolId: PoolId): void {
    this.#requestRetries.get(poolId).recordFirstSends();
  }

  /**
   * Takes a repeat out of this host's share.
   *
   * @param ask - what is to be sent once more
   * @returns leave to send it; null when the share is used up
   */
  tryRetry(ask: RetryRequest): RetryReservation | null {
    const window = this.#requestRetries.get(ask.poolId);
    const leftBefore = window.remaining;
    const permit = window.tryReserve();
    this.#recordDecision(ask, permit !== null, leftBefore, window.remaining);
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

  /**
   * @param poolId - a pool
   * @returns requests a second that one of its upstreams may get from this host; 0 for no bound
   */
  getColdStartShare(poolId: PoolId): number {
    const { bounds, directory } = this.#options;
    const perSecond = directory.configuration?.pools.get(poolId)?.coldRequestsPerSecond ?? 0;
    if (perSecond === 0) {
      return 0;
    }
    const allowed = perSecond * bounds.coldOvershoot + bounds.coldSlack;
    return Math.max(1, Math.floor(allowed / directory.largestHostCount));
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
    ask: RetryRequest,
    isAllowed: boolean,
    leftBefore: number,
    leftAfter: number,
  ): void {
    const { logger, metrics, directory } = this.#options;
    const decision = {
      ...ask,
      isAllowed,
      leftBefore,
      leftAfter,
      fixedAllowance: Number(this.#getFixedAllowance().toFixed(2)),
      hostCount: directory.largestHostCount,
      directoryAgeMs: directory.ageMs === null ? null : Math.round(directory.ageMs),
    };
    metrics.recordRetry(decision);
    logger.info({ event: 'repeat', ...decision }, 'decided on a repeat');
  }
}
