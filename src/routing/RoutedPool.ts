import type { CoreContext } from '../core/CoreContext.ts';
import { PoolEjection, type PoolEjectionOptions } from '../health/PoolEjection.ts';
import { DecayedHistogram } from '../lib/DecayedHistogram.ts';
import { IndexedList } from '../lib/IndexedList.ts';
import type { FailureDomainId, UpstreamId } from '../lib/ids.ts';
import type { RoutedUpstream } from './RoutedUpstream.ts';
import type { SelectableUpstreams } from './UpstreamSelector.ts';

/** Current capacity of a pool at this host. */
export interface PoolCapacity {
  /**
   * Sum of the upstreams' concurrency limits at this host. A cold upstream counts as one slot,
   * which still requires a grant: if it counted as none, no request would be admitted to warm it.
   */
  readonly limit: number;
  /** Running attempts of this host. */
  readonly running: number;
  /** Upstreams that accept attempts without a grant. */
  readonly usableUpstreams: number;
}

const SLOW_QUANTILE = 0.9;
/** An attempt is slow if it takes longer than the pool's `SLOW_QUANTILE` by this factor. */
const SLOW_LATENCY_FACTOR = 1.5;
const MIN_LATENCY_SAMPLES = 50;
/** Contribution of a cold upstream that accepts granted attempts to the pool's limit. */
const COLD_UPSTREAM_LIMIT = 1;

interface Contribution {
  readonly isCold: boolean;
  readonly limit: number;
  readonly running: number;
}

/** The upstreams of one pool, grouped by which attempts may be sent to them. */
export class RoutedPool implements SelectableUpstreams {
  readonly near = new IndexedList<RoutedUpstream>();

  readonly far = new IndexedList<RoutedUpstream>();

  /** Upstreams that need a granted slot for each attempt. */
  readonly cold = new IndexedList<RoutedUpstream>();

  /** Upstreams of `cold` with a free slot. */
  readonly granted = new IndexedList<RoutedUpstream>();

  readonly ejection: PoolEjection;

  readonly #nearDomainId: FailureDomainId;

  readonly #contributions = new Map<RoutedUpstream, Contribution>();

  readonly #context: CoreContext;

  readonly #latencies = new DecayedHistogram();

  #limit = 0;

  #coldCount = 0;

  #running = 0;

  #coldIndex = 0;

  /**
   * @param context - time of the step
   * @param options - options of the ejection of failing upstreams
   */
  constructor(context: CoreContext, options: Partial<PoolEjectionOptions>) {
    this.#context = context;
    this.#nearDomainId = context.self.failureDomainId;
    this.ejection = new PoolEjection(context, options);
  }

  /** Current capacity of the pool. */
  get capacity(): PoolCapacity {
    return {
      limit: this.#limit,
      running: this.#running,
      usableUpstreams: this.#contributions.size - this.#coldCount,
    };
  }

  /**
   * Records the end of an attempt. One much slower than the pool's other attempts counts as failed,
   * so that a hanging upstream is detected like one that returns errors.
   *
   * @param upstream - the upstream of the attempt
   * @param latencyMs - its duration
   * @param isError - whether the upstream failed it
   */
  recordAttemptEnd(upstream: RoutedUpstream, latencyMs: number, isError: boolean): void {
    const nowMs = this.#context.getNowMs();
    const slowQuantileMs = this.#latencies.getCount(nowMs) >= MIN_LATENCY_SAMPLES
      ? this.#latencies.getQuantile(SLOW_QUANTILE) ?? Infinity
      : Infinity;
    const isSlow = latencyMs > slowQuantileMs * SLOW_LATENCY_FACTOR;
    this.#latencies.add(latencyMs, nowMs);
    this.ejection.recordAttempt(upstream.upstreamId, isError || isSlow);
  }

  /**
   * Updates the pool after a change of an upstream.
   *
   * @param upstream - the upstream, a member of this pool
   * @param hasFreeSlot - whether this host holds a free granted slot there
   */
  refresh(upstream: RoutedUpstream, hasFreeSlot: boolean): void {
    const { health } = upstream;
    const isEjected = this.ejection.isEjected(upstream.upstreamId);
    const isNear = upstream.record.failureDomainId === this.#nearDomainId;
    const hasCapacity = !isEjected && upstream.hasCapacity();
    const isCold = health.needsGrant();
    this.near.set(upstream, hasCapacity && isNear);
    this.far.set(upstream, hasCapacity && !isNear);
    this.cold.set(upstream, isCold);
    this.granted.set(upstream, isCold && health.acceptsWork() && hasFreeSlot);
    this.#updateTotals(upstream, !isEjected && health.acceptsWork(), isCold);
  }

  /**
   * Checks whether the pool has no usable upstreams beside the given ones.
   *
   * @param upstreamIds - the given upstreams
   * @returns whether no other upstream accepts attempts without a grant
   */
  hasOnly(upstreamIds: readonly UpstreamId[]): boolean {
    if (upstreamIds.length < this.capacity.usableUpstreams) {
      return false;
    }
    return [...this.#contributions]
      .every(([{ upstreamId }, { isCold }]) => isCold || upstreamIds.includes(upstreamId));
  }

  /**
   * Removes an upstream.
   *
   * @param upstream - a member of this pool
   */
  remove(upstream: RoutedUpstream): void {
    [this.near, this.far, this.cold, this.granted].forEach((list) => list.set(upstream, false));
    this.ejection.release(upstream.upstreamId);
    this.#updateTotals(upstream, false, false);
  }

  /**
   * Gets the next cold upstream in round-robin order.
   *
   * @returns the upstream; undefined when there is none
   */
  getNextCold(): RoutedUpstream | undefined {
    this.#coldIndex = (this.#coldIndex + 1) % Math.max(1, this.cold.size);
    return this.cold.items[this.#coldIndex];
  }

  #updateTotals(upstream: RoutedUpstream, isUsable: boolean, isCold: boolean): void {
    const before = this.#contributions.get(upstream);
    this.#limit -= before?.limit ?? 0;
    this.#running -= before?.running ?? 0;
    this.#coldCount -= before?.isCold === true ? 1 : 0;
    if (!isUsable) {
      this.#contributions.delete(upstream);
      return;
    }
    const limit = isCold ? COLD_UPSTREAM_LIMIT : upstream.limit.value;
    const after = { isCold, limit, running: upstream.runningCount };
    this.#coldCount += isCold ? 1 : 0;
    this.#contributions.set(upstream, after);
    this.#limit += after.limit;
    this.#running += after.running;
  }
}
