import type { RequestId, UpstreamId } from '../lib/ids.ts';
import type { AcquireRequest } from './AcquireRequest.ts';
import type { RoutedPool } from './RoutedPool.ts';
import type { RoutedUpstream } from './RoutedUpstream.ts';

/** Upstreams reserved for requests that must run alone. */
export class ReservationTable {
  readonly #getUpstream: (upstreamId: UpstreamId) => RoutedUpstream | undefined;

  readonly #refresh: (upstream: RoutedUpstream) => void;

  readonly #upstreamIds = new Map<RequestId, UpstreamId>();

  /**
   * @param getUpstream - finds a configured upstream
   * @param refresh - called for an upstream whose reservation has changed
   */
  constructor(
    getUpstream: (upstreamId: UpstreamId) => RoutedUpstream | undefined,
    refresh: (upstream: RoutedUpstream) => void,
  ) {
    this.#getUpstream = getUpstream;
    this.#refresh = refresh;
  }

  /**
   * Reserves the upstream with the fewest running attempts, or returns an existing reservation.
   *
   * @param request - the attempt that must run alone
   * @param pool - its pool; undefined if it is not configured
   * @returns the reserved upstream; null for none
   */
  reserve(request: AcquireRequest, pool: RoutedPool | undefined): RoutedUpstream | null {
    const reservedId = this.#upstreamIds.get(request.requestId);
    const reserved = reservedId === undefined ? undefined : this.#getUpstream(reservedId);
    if (reserved !== undefined && reserved.health.acceptsWork()) {
      return reserved;
    }
    this.release(request.requestId);
    const chosen = [...pool?.near.items ?? [], ...pool?.far.items ?? []]
      .filter(({ upstreamId }) => !request.excludedUpstreamIds.includes(upstreamId))
      .sort((left, right) => left.runningCount - right.runningCount)[0];
    if (chosen === undefined) {
      return null;
    }
    chosen.isReserved = true;
    this.#upstreamIds.set(request.requestId, chosen.upstreamId);
    this.#refresh(chosen);
    return chosen;
  }

  /**
   * Releases the reservation of a request.
   *
   * @param requestId - the request; ignored if it has no reservation
   */
  release(requestId: RequestId): void {
    const upstreamId = this.#upstreamIds.get(requestId);
    const upstream = upstreamId === undefined ? undefined : this.#getUpstream(upstreamId);
    this.#upstreamIds.delete(requestId);
    if (upstream !== undefined) {
      upstream.isReserved = false;
      this.#refresh(upstream);
    }
  }
}
