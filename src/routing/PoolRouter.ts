import type { DrainRecord } from '../configuration/records/DrainRecord.ts';
import type { PoolRecord } from '../configuration/records/PoolRecord.ts';
import type { UpstreamRecord } from '../configuration/records/UpstreamRecord.ts';
import type { CoreContext } from '../core/CoreContext.ts';
import type { LoadReportedInput } from '../core/CoreInput.ts';
import { GrantMessageHandler } from '../grants/GrantMessageHandler.ts';
import type { GrantCoordinatorDirectory } from '../grants/GrantCoordinatorDirectory.ts';
import type {
  HostId, PoolId, RequestId, UpstreamId,
} from '../lib/ids.ts';
import type { PeerMessage } from '../peers/PeerMessage.ts';
import type { AcquireRequest } from './AcquireRequest.ts';
import type { AttemptOutcome } from './AttemptOutcome.ts';
import { ColdSlotAllocator } from './ColdSlotAllocator.ts';
import { isDrained } from './isDrained.ts';
import { isCertainEnd, isUpstreamError } from './isUpstreamError.ts';
import { ReservationTable } from './ReservationTable.ts';
import { RoutedPool, type PoolCapacity } from './RoutedPool.ts';
import { DEFAULT_POOL_ROUTER_OPTIONS, type PoolRouterOptions } from './PoolRouterOptions.ts';
import type { RouterConfiguration } from './RouterConfiguration.ts';
import { RoutedUpstream } from './RoutedUpstream.ts';
import { UpstreamSelector } from './UpstreamSelector.ts';

/**
 * Chooses an upstream for each attempt and keeps the slots. Core's use:
 *
 * ```ts
 * const router = new PoolRouter(context, stewards);
 * router.setConfiguration(configuration);           // at each adopted version
 * const upstreamId = router.tryAcquire(request);    // null: queue the request
 * if (upstreamId !== null) {
 *   const timeoutMs = router.getAttemptTimeoutMs(upstreamId, wantedMs); // a slot may end earlier
 *   context.emit({ kind: 'sendAttempt', upstreamId, timeoutMs, ... });
 * }
 * router.noteOutcome(outcome);                      // attemptSucceeded, attemptFailed
 * router.noteCancelled(upstreamId);                 // cancelAttempt: frees it without evidence
 * router.noteLoad(input);                           // loadReported
 * router.noteLoadUnavailable(upstreamId);           // loadUnavailable
 * router.handlePeerMessage(fromHostId, message);    // grantAsk, grantReply, grantReturn
 * router.tick();                                    // at getNextWakeMs() or later
 * router.takeChangedPools().forEach(dispatchQueue); // last in the step: pools that may have room
 * ```
 */
export class PoolRouter {
  readonly #context: CoreContext;

  readonly #grantCoordinators: GrantCoordinatorDirectory;

  readonly #options: PoolRouterOptions;

  readonly #selector: UpstreamSelector;

  readonly #grants: GrantMessageHandler;

  readonly #pools = new Map<PoolId, RoutedPool>();

  readonly #upstreams = new Map<UpstreamId, RoutedUpstream>();

  readonly #drained = new Set<UpstreamId>();

  readonly #reservations: ReservationTable;

  readonly #changedPools = new Set<PoolId>();

  readonly #coldSlotAllocator: ColdSlotAllocator;

  /**
   * @param context - the time of the step and the way out
   * @param grantCoordinators - who grants the slots of cold upstreams
   * @param options - how its parts decide; what is left out takes its default
   */
  constructor(
    context: CoreContext,
    grantCoordinators: GrantCoordinatorDirectory,
    options: Partial<PoolRouterOptions> = {},
  ) {
    this.#context = context;
    this.#grantCoordinators = grantCoordinators;
    this.#options = { ...DEFAULT_POOL_ROUTER_OPTIONS, ...options };
    this.#selector = new UpstreamSelector(context.random, this.#options.selector);
    this.#grants = new GrantMessageHandler(
      context,
      grantCoordinators,
      (id) => this.#upstreams.get(id)?.pool.coldConcurrency ?? 0,
      this.#options.grants,
    );
    this.#coldSlotAllocator = new ColdSlotAllocator(this.#grants.holder);
    this.#reservations = new ReservationTable(
      (id) => this.#upstreams.get(id),
      (upstream) => this.#refresh(upstream),
    );
  }

  /**
   * Adopts pools, upstreams and drains; slots that run go on.
   *
   * @param configuration - the records in force
   */
  setConfiguration(configuration: RouterConfiguration): void {
    const pools = new Map(configuration.pools.map((pool) => [pool.id, pool]));
    const ids = new Set(configuration.upstreams.map((upstream) => upstream.id as UpstreamId));
    this.#upstreams.forEach((upstream, id) => {
      if (!ids.has(id)) {
        this.#remove(upstream);
      }
    });
    configuration.upstreams.forEach((record) => {
      const pool = pools.get(record.poolId);
      if (pool !== undefined) {
        this.#addOrUpdate(record, pool);
      }
    });
    this.#updateMemberCounts();
    this.setDrains(configuration.drains);
  }

  /**
   * Adopts the drains alone.
   *
   * @param drains - all that is out of service
   */
  setDrains(drains: readonly DrainRecord[]): void {
    this.#upstreams.forEach((upstream, id) => {
      const isNowDrained = isDrained(upstream.record, drains);
      if (isNowDrained !== this.#drained.has(id)) {
        upstream.setDrained(isNowDrained);
        if (isNowDrained) {
          this.#drained.add(id);
        } else {
          this.#drained.delete(id);
        }
      }
      this.#refresh(upstream);
    });
    this.#updateMemberCounts();
  }

  /**
   * Takes a slot at an upstream of the pool.
   *
   * @param request - what the attempt needs
   * @returns the upstream; null when none has room now
   */
  tryAcquire(request: AcquireRequest): UpstreamId | null {
    this.#coldSlotAllocator.reset();
    const pool = this.#pools.get(request.poolId);
    if (pool === undefined) {
      return null;
    }
    const allowsCold = request.excludedUpstreamIds.length === 0;
    const cold = allowsCold && (request.isRepeatable ?? true)
      ? this.#coldSlotAllocator.acquire(pool, request, 1)
      : null;
    const chosen = cold
      ?? this.#select(pool, request)
      ?? (allowsCold ? this.#coldSlotAllocator.acquire(pool, request) : null);
    if (chosen === null) {
      return null;
    }
    chosen.startAttempt(this.#coldSlotAllocator.endsAtMs !== null);
    this.#refresh(chosen);
    return chosen.upstreamId;
  }

  /**
   * Takes a slot at an upstream that runs nothing else of this host, and keeps others away until
   * the attempt ends. An upstream is reserved at the first call and emptied first, so call again.
   *
   * @param request - what the attempt needs
   * @returns the upstream; null while none is empty
   */
  tryAcquireAlone(request: AcquireRequest): UpstreamId | null {
    this.#coldSlotAllocator.reset();
    const reserved = this.#reservations.reserve(request, this.#pools.get(request.poolId));
    if (reserved === null || reserved.runningCount > 0) {
      return null;
    }
    reserved.startAttempt(false);
    this.#refresh(reserved);
    return reserved.upstreamId;
  }

  /**
   * Opens an upstream again that was reserved for a request.
   *
   * @param requestId - the request; one without a reservation is passed over
   */
  releaseReservation(requestId: RequestId): void {
    this.#reservations.release(requestId);
  }

  /**
   * Bounds an attempt by the end of its slot; to be called directly after `tryAcquire`.
   *
   * @param requestedMs - how long the attempt may take by its deadline
   * @returns how long it may take
   */
  getAttemptTimeoutMs(requestedMs: number): number {
    const { endsAtMs } = this.#coldSlotAllocator;
    return endsAtMs === null
      ? requestedMs
      : Math.min(requestedMs, endsAtMs - this.#context.getNowMs());
  }

  /**
   * Frees the slot of an attempt that ended and learns from it.
   *
   * @param outcome - how it ended
   */
  recordOutcome(outcome: AttemptOutcome): void {
    const upstream = this.#upstreams.get(outcome.upstreamId);
    if (upstream === undefined) {
      return;
    }
    this.#endAttempt(upstream, isCertainEnd(outcome.failure));
    upstream.recordOutcome(outcome);
    const isError = outcome.failure !== null && isUpstreamError(outcome.failure);
    this.#pools.get(upstream.poolId)?.recordAttemptEnd(upstream, outcome.latencyMs, isError);
    this.#refresh(upstream);
  }

  /**
   * Frees the slot of an attempt that was cancelled, which says nothing about its upstream.
   *
   * @param upstreamId - where it ran
   */
  recordCancelled(upstreamId: UpstreamId): void {
    const upstream = this.#upstreams.get(upstreamId);
    if (upstream !== undefined) {
      this.#endAttempt(upstream, false);
      this.#refresh(upstream);
    }
  }

  /**
   * Learns from a load report.
   *
   * @param report - what the upstream said, with its lag
   */
  recordLoad(report: LoadReportedInput): void {
    const upstream = this.#upstreams.get(report.upstreamId);
    if (upstream !== undefined) {
      upstream.recordReport(report);
      this.#grants.recordRunningCount(report.upstreamId, report.runningCount);
      this.#refresh(upstream);
    }
  }

  /**
   * Learns that an upstream's load report could not be fetched. Attempts tell more about it: one
   * that can't be reached is noticed by the next of them.
   *
   * @param upstreamId - the upstream
   */
  recordLoadUnavailable(upstreamId: UpstreamId): void {
    const upstream = this.#upstreams.get(upstreamId);
    if (upstream !== undefined) {
      this.#refresh(upstream);
    }
  }

  /**
   * Takes a peer's message about grants; others are passed over.
   *
   * @param fromHostId - the sender
   * @param message - the message
   */
  handlePeerMessage(fromHostId: HostId, message: PeerMessage): void {
    const upstreamId = this.#grants.handlePeerMessage(fromHostId, message);
    const upstream = upstreamId === null ? undefined : this.#upstreams.get(upstreamId);
    if (upstream !== undefined) {
      this.#refresh(upstream);
    }
  }

  /** Does the periodic work that is due. */
  tick(): void {
    if (this.#context.getNowMs() < this.getNextWakeMs()) {
      return;
    }
    this.#grants.holder.tick();
    this.#pools.forEach((pool) => {
      pool.ejection.tick().forEach((id) => this.#endEjection(id));
      [...pool.cold.items].forEach((upstream) => {
        upstream.tick();
        this.#refresh(upstream);
      });
    });
  }

  /**
   * @returns when the next tick is due; Infinity for never
   */
  getNextWakeMs(): number {
    let nextMs = this.#grants.holder.getNextWakeMs();
    this.#pools.forEach((pool) => {
      nextMs = Math.min(nextMs, pool.ejection.getNextWakeMs());
      pool.cold.items.forEach((upstream) => {
        nextMs = Math.min(nextMs, upstream.health.getNextWakeMs());
      });
    });
    return nextMs;
  }

  /**
   * @returns pools that may have got room since the last call
   */
  takeChangedPools(): PoolId[] {
    const changed = [...this.#changedPools];
    this.#changedPools.clear();
    return changed;
  }

  /**
   * @param poolId - the pool
   * @returns what it can take now
   */
  getCapacity(poolId: PoolId): PoolCapacity {
    return this.#pools.get(poolId)?.capacity ?? { limit: 0, running: 0, usableUpstreams: 0 };
  }

  /**
   * @param upstreamId - the upstream
   * @returns what this host knows of it, for operators; null when it is not configured
   */
  getUpstream(upstreamId: UpstreamId): RoutedUpstream | null {
    return this.#upstreams.get(upstreamId) ?? null;
  }

  /** A request that has failed everywhere may go again to where it failed. */
  #select(pool: RoutedPool, request: AcquireRequest): RoutedUpstream | null {
    const { affinityKey, excludedUpstreamIds } = request;
    const isExcludedEverywhere = excludedUpstreamIds.length > 0
      && pool.hasOnly(excludedUpstreamIds);
    const excluded = isExcludedEverywhere ? [] : excludedUpstreamIds;
    const criteria = { affinityKey, excludedUpstreamIds: excluded };
    return this.#selector.select(pool, criteria) as RoutedUpstream | null;
  }

  #endAttempt(upstream: RoutedUpstream, isCertain: boolean): void {
    if (upstream.endAttempt()) {
      this.#grants.holder.release(upstream.upstreamId, isCertain);
    }
  }

  #endEjection(upstreamId: UpstreamId): void {
    const upstream = this.#upstreams.get(upstreamId);
    if (upstream !== undefined) {
      upstream.restartLimit();
      this.#refresh(upstream);
    }
  }

  #addOrUpdate(record: UpstreamRecord, pool: PoolRecord): void {
    const id = record.id as UpstreamId;
    const bound = this.#grantCoordinators.getHostCountBound();
    const known = this.#upstreams.get(id);
    if (known?.pool.id === pool.id) {
      known.setRecords(record, pool, bound);
      return;
    }
    if (known !== undefined) {
      this.#remove(known);
    }
    const created = new RoutedUpstream(this.#context, record, pool, bound, this.#options);
    this.#upstreams.set(id, created);
    const poolId = pool.id as PoolId;
    if (!this.#pools.has(poolId)) {
      this.#pools.set(poolId, new RoutedPool(this.#context, this.#options.ejection));
    }
  }

  #remove(upstream: RoutedUpstream): void {
    this.#upstreams.delete(upstream.upstreamId);
    this.#drained.delete(upstream.upstreamId);
    this.#pools.get(upstream.poolId)?.remove(upstream);
    this.#grants.holder.returnFreeSlots(upstream.upstreamId);
  }

  #updateMemberCounts(): void {
    const counts = new Map<PoolId, number>();
    this.#upstreams.forEach(({ poolId, upstreamId }) => {
      if (!this.#drained.has(upstreamId)) {
        counts.set(poolId, (counts.get(poolId) ?? 0) + 1);
      }
    });
    this.#pools.forEach((pool, id) => pool.ejection.setMemberCount(counts.get(id) ?? 0));
  }

  #refresh(upstream: RoutedUpstream): void {
    const { upstreamId, poolId } = upstream;
    const isCold = upstream.health.needsGrant();
    if (!isCold) {
      this.#grants.holder.returnFreeSlots(upstreamId);
    }
    const hasFreeSlot = isCold && this.#grants.holder.hasFreeSlot(upstreamId);
    this.#pools.get(poolId)?.refresh(upstream, hasFreeSlot);
    this.#changedPools.add(poolId);
  }
}
