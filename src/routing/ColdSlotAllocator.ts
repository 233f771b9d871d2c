import type { GrantHolder } from '../grants/GrantHolder.ts';
import type { AcquireRequest } from './AcquireRequest.ts';
import type { RoutedPool } from './RoutedPool.ts';
import type { RoutedUpstream } from './RoutedUpstream.ts';

const DEFAULT_TIMEOUT_MS = 6_000;
/** Cold upstreams considered for one attempt when no warm one has capacity. */
const MAX_COLD_CANDIDATES = 4;

/** Takes granted slots at the cold upstreams of a pool, and requests further grants. */
export class ColdSlotAllocator {
  readonly #holder: GrantHolder;

  #endsAtMs: number | null = null;

  /**
   * @param holder - the slots granted to this host
   */
  constructor(holder: GrantHolder) {
    this.#holder = holder;
  }

  /** Deadline of the attempt in the last slot taken; null if it uses no slot. */
  get endsAtMs(): number | null {
    return this.#endsAtMs;
  }

  /** Clears the deadline of the last slot, since the next attempt may need no slot. */
  reset(): void {
    this.#endsAtMs = null;
  }

  /**
   * Takes a slot at a cold upstream, preferring slots that are already granted.
   *
   * @param pool - the pool
   * @param request - requirements of the attempt
   * @param maxCandidates - maximum number of cold upstreams to consider without a free slot
   * @returns the upstream whose slot was taken; null for none
   */
  acquire(
    pool: RoutedPool,
    request: AcquireRequest,
    maxCandidates = MAX_COLD_CANDIDATES,
  ): RoutedUpstream | null {
    const timeoutMs = request.timeoutMs ?? DEFAULT_TIMEOUT_MS;
    const granted = pool.granted.items[0];
    if (granted !== undefined && this.#takeSlot(granted, timeoutMs)) {
      return granted;
    }
    for (let index = 0; index < Math.min(maxCandidates, pool.cold.size); index += 1) {
      const upstream = pool.getNextCold();
      if (upstream?.health.acceptsWork() === true && this.#takeOrRequestSlot(upstream, timeoutMs)) {
        return upstream;
      }
    }
    return null;
  }

  #takeOrRequestSlot(upstream: RoutedUpstream, timeoutMs: number): boolean {
    if (this.#takeSlot(upstream, timeoutMs)) {
      return true;
    }
    this.#holder.requestSlot(upstream.upstreamId, timeoutMs);
    // If this host is the grant coordinator, the request was answered synchronously.
    return this.#holder.hasFreeSlot(upstream.upstreamId) && this.#takeSlot(upstream, timeoutMs);
  }

  #takeSlot({ upstreamId, pool }: RoutedUpstream, timeoutMs: number): boolean {
    this.#endsAtMs = this.#holder.tryAcquire(upstreamId, pool.coldConcurrency, timeoutMs);
    return this.#endsAtMs !== null;
  }
}
