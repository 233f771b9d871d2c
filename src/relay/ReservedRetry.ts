import type { UpstreamId } from '../lib/ids.ts';
import type { RetryReservation } from '../retries/RetryWindow.ts';
import type { RequestRetries } from './RequestRetries.ts';
import type { RetryReason } from './RetryDecision.ts';

/** The retry that is reserved for the next send of a request, if any. */
export class ReservedRetry {
  readonly #retries: RequestRetries;

  #reservation: RetryReservation | null = null;

  /** @param retries - reserves retries for the request */
  constructor(retries: RequestRetries) {
    this.#retries = retries;
  }

  /**
   * @param reason - why the request needs a retry
   * @returns whether one is reserved, now or before
   */
  tryReserve(reason: RetryReason): boolean {
    this.#reservation ??= this.#retries.tryReserve(reason);
    return this.#reservation !== null;
  }

  /** Whether a retry is reserved. */
  get isReserved(): boolean {
    return this.#reservation !== null;
  }

  /**
   * Uses the reserved retry for a send; a first send needs none.
   *
   * @param upstreamId - the upstream that the request is sent to now
   * @returns whether the request may be sent; false when the reservation was withdrawn
   */
  trySend(upstreamId: UpstreamId): boolean {
    if (this.#reservation?.trySend(upstreamId) === false) {
      return false;
    }
    this.#reservation = null;
    return true;
  }

  /** Releases the reserved retry unused. */
  release(): void {
    this.#reservation?.release();
    this.#reservation = null;
  }
}
