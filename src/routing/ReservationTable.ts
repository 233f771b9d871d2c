import type { RequestId, UpstreamId } from '../lib/ids.ts';
import type { AcquireRequest } from './AcquireRequest.ts';
import type { RoutedPool } from './RoutedPool.ts';
import type { RoutedUpstream } from './RoutedUpstream.ts';

/** Upstreams that are kept free for requests which have to run alone. */
export class ReservationTable {
  readonly #getUpstream: (upstreamId: UpstreamId) => RoutedUpstream | undefined;

  readonly #refresh: (upstream: RoutedUpstream) => void;

  readonly #upstreamIds = new Map<RequestId, UpstreamId>();

  /**
   * @param getUpstream - finds an upstream that is configured
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
   * @param request - what has to run alone
   * @param pool - its pool; undefined when it is not configured
   * @returns the upstream that is reserved for it; null for none
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
   * @param requestId - the request; one without a reservation is passed over
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
