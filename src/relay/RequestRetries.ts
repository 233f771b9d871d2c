import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { RetryReservation } from '../retries/RetryWindow.ts';
import type { Clock } from '../time/Clock.ts';
import type { HostShares } from './HostShares.ts';
import type { RetryKind, RetryReason } from './RetryDecision.ts';

/** What the repeats of a request are made of. */
export interface RequestRetriesOptions {
  readonly clock: Clock;
  readonly shares: HostShares;
  readonly requestId: string;
  /** Whose upstreams get it. */
  readonly poolId: PoolId;
  readonly kind: RetryKind;
}

/** What a line about a send tells of it. */
export interface SendDetails {
  readonly upstreamId: UpstreamId;
  readonly poolId: PoolId;
  /** 0 for the first send. */
  readonly sendIndex: number;
  /** Time since the repeat was decided on; null for the first send. */
  readonly decidedAgoMs: number | null;
}

/** The sends of one request, and the leave that it has for more. */
export class RequestRetries {
  readonly #options: RequestRetriesOptions;

  readonly #permits = new Set<RetryReservation>();

  /** Attempts handed to a connection, whatever became of them. */
  #sendCount = 0;

  #decidedAtMs = 0;

  /**
   * @param parts - see {@link RequestRetriesOptions}
   */
  constructor(parts: RequestRetriesOptions) {
    this.#options = parts;
  }

  /**
   * @param reason - why the request is to be sent once more
   * @returns leave to send it; null when there is none
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
   * @param upstreamId - where the request is sent now
   * @returns what the line about it tells
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

  /** Gives back the leave that was not used; for a request that is over. */
  release(): void {
    this.#permits.forEach((permit) => permit.release());
  }
}
