import type { GrantHolder } from '../grants/GrantHolder.ts';
import type { AcquireRequest } from './AcquireRequest.ts';
import type { RoutedPool } from './RoutedPool.ts';
import type { RoutedUpstream } from './RoutedUpstream.ts';

const DEFAULT_TIMEOUT_MS = 6_000;
/** Cold upstreams that one attempt tries when no warm one has room. */
const MAX_COLD_CANDIDATES = 4;

/** Takes slots at the cold upstreams of a pool, and asks for those that are missing. */
export class ColdSlotAllocator {
  readonly #holder: GrantHolder;

  #endsAtMs: number | null = null;

  /**
   * @param holder - the slots of this host
   */
  constructor(holder: GrantHolder) {
    this.#holder = holder;
  }

  /** When the attempt in the slot that was taken last has to have ended; null without a slot. */
  get endsAtMs(): number | null {
    return this.#endsAtMs;
  }

  /** Forgets the slot that was taken last: the next attempt may need none. */
  reset(): void {
    this.#endsAtMs = null;
  }

  /**
   * @param pool - the pool
   * @param request - what the attempt needs
   * @param maxCandidates - cold upstreams without a free slot that are tried at most
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
    // A steward that is this host itself has answered already.
    return this.#holder.hasFreeSlot(upstream.upstreamId) && this.#takeSlot(upstream, timeoutMs);
  }

  #takeSlot({ upstreamId, pool }: RoutedUpstream, timeoutMs: number): boolean {
    this.#endsAtMs = this.#holder.tryAcquire(upstreamId, pool.coldConcurrency, timeoutMs);
    return this.#endsAtMs !== null;
  }
}
