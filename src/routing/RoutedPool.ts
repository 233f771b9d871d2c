import type { CoreContext } from '../core/CoreContext.ts';
import { PoolEjection, type PoolEjectionOptions } from '../health/PoolEjection.ts';
import { DecayedHistogram } from '../lib/DecayedHistogram.ts';
import { IndexedList } from '../lib/IndexedList.ts';
import type { FailureDomainId, UpstreamId } from '../lib/ids.ts';
import type { RoutedUpstream } from './RoutedUpstream.ts';
import type { SelectableUpstreams } from './UpstreamSelector.ts';

/** What a pool can take now. */
export interface PoolCapacity {
  /**
   * Attempts that the pool's upstreams bear together, by this host's limits. A cold one counts as
   * one slot, which has to be granted still: were it none, nobody would be admitted to warm it.
   */
  readonly limit: number;
  /** Attempts of this host that run there. */
  readonly running: number;
  /** Upstreams that get new work without a grant. */
  readonly usableUpstreams: number;
}

const SLOW_QUANTILE = 0.9;
/** Slow is an answer that takes longer than the pool's `SLOW_QUANTILE` by this factor. */
const SLOW_LATENCY_FACTOR = 1.5;
const MIN_LATENCY_SAMPLES = 50;
/** What a cold upstream that takes granted attempts adds to the limit. */
const COLD_UPSTREAM_LIMIT = 1;

interface Contribution {
  readonly isCold: boolean;
  readonly limit: number;
  readonly running: number;
}

/** The upstreams of one pool, sorted by what may be sent to them, kept as they change. */
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
   * @param context - the time of the step
   * @param options - how failing upstreams are ejected
   */
  constructor(context: CoreContext, options: Partial<PoolEjectionOptions>) {
    this.#context = context;
    this.#nearDomainId = context.self.failureDomainId;
    this.ejection = new PoolEjection(context, options);
  }

  /** What the pool can take now. */
  get capacity(): PoolCapacity {
    return {
      limit: this.#limit,
      running: this.#running,
      usableUpstreams: this.#contributions.size - this.#coldCount,
    };
  }

  /**
   * Counts an attempt that ended. One that was much slower than the pool's others counts as failed,
   * so that an upstream which hangs is found like one which errs.
   *
   * @param upstream - where it ran
   * @param latencyMs - how long it took
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
   * Takes over what changed at an upstream.
   *
   * @param upstream - the upstream, a member of this pool
   * @param hasFreeSlot - whether this host holds a granted slot there that is free
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
   * @param upstreamIds - some upstreams
   * @returns whether no other upstream takes work without a grant
   */
  hasOnly(upstreamIds: readonly UpstreamId[]): boolean {
    if (upstreamIds.length < this.capacity.usableUpstreams) {
      return false;
    }
    return [...this.#contributions]
      .every(([{ upstreamId }, { isCold }]) => isCold || upstreamIds.includes(upstreamId));
  }

  /**
   * Forgets an upstream.
   *
   * @param upstream - a member of this pool
   */
  remove(upstream: RoutedUpstream): void {
    [this.near, this.far, this.cold, this.granted].forEach((list) => list.set(upstream, false));
    this.ejection.release(upstream.upstreamId);
    this.#updateTotals(upstream, false, false);
  }

  /**
   * @returns the cold upstreams in turn; undefined when there is none
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
