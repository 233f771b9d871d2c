import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { RetryReservation } from '../retries/RetryWindow.ts';
import type { Clock } from '../time/Clock.ts';
import type { HostShares } from './HostShares.ts';
import type { RetryKind, RetryReason } from './RetryDecision.ts';

/** Options of {@link RequestRetries}. */
export interface RequestRetriesOptions {
  readonly clock: Clock;
  readonly shares: HostShares;
  readonly requestId: string;
  /** Pool of the upstreams that the request is sent to. */
  readonly poolId: PoolId;
  readonly kind: RetryKind;
}

/** Log fields of one send. */
export interface SendDetails {
  readonly upstreamId: UpstreamId;
  readonly poolId: PoolId;
  /** 0 for the first send. */
  readonly sendIndex: number;
  /** Time since the decision to retry; null for the first send. */
  readonly decidedAgoMs: number | null;
}

/** Counts the sends of one request and reserves retries for it. */
export class RequestRetries {
  readonly #options: RequestRetriesOptions;

  readonly #permits = new Set<RetryReservation>();

  /** Attempts passed to a connection, whatever their result. */
  #sendCount = 0;

  #decidedAtMs = 0;

  /**
   * @param options - see {@link RequestRetriesOptions}
   */
  constructor(options: RequestRetriesOptions) {
    this.#options = options;
  }

  /**
   * @param reason - why the request needs a retry
   * @returns the reserved retry; null when this host's share of the retries is used up
   */
  tryReserve(reason: RetryReason): RetryReservation | null {
    const {
      clock, shares, requestId, poolId, kind,
    } = this.#options;
    this.#decidedAtMs = clock.getMonotonicMs();
    const permit = shares.tryRetry({
      requestId, poolId, kind, reason,
    });
    if (permit !== null) {
      this.#permits.add(permit);
    }
    return permit;
  }

  /**
   * @param upstreamId - the upstream that the request is sent to now
   * @returns the log fields of the send
   */
  recordSend(upstreamId: UpstreamId): SendDetails {
    const { clock, poolId } = this.#options;
    const sendIndex = this.#sendCount;
    this.#sendCount += 1;
    return {
      upstreamId,
      poolId,
      sendIndex,
      decidedAgoMs: sendIndex === 0
        ? null
        : Math.round(clock.getMonotonicMs() - this.#decidedAtMs),
    };
  }

  /** Releases the unused reservations when the request has ended. */
  release(): void {
    this.#permits.forEach((permit) => permit.release());
  }
}
