/* eslint-disable @typescript-eslint/class-methods-use-this
   -- the first version learns nothing from reports and grants yet */
import type { DrainRecord } from '../configuration/records/DrainRecord.ts';
import type { PoolRecord } from '../configuration/records/PoolRecord.ts';
import type { UpstreamRecord } from '../configuration/records/UpstreamRecord.ts';
import type { CoreContext } from '../core/CoreContext.ts';
import type { LoadReportedInput } from '../core/CoreInput.ts';
import type {
  AccountId, HostId, PoolId, RequestId, UpstreamId,
} from '../lib/ids.ts';
import type { PeerMessage } from '../peers/PeerMessage.ts';
import type { AttemptFailure } from '../upstreams/AttemptFailure.ts';
import type { StewardDirectory } from '../grants/StewardDirectory.ts';

/** The part of the configuration that the router follows. */
export interface RouterConfiguration {
  readonly pools: readonly PoolRecord[];
  readonly upstreams: readonly UpstreamRecord[];
  readonly drains: readonly DrainRecord[];
}

/** What an attempt needs. */
export interface AcquireRequest {
  readonly poolId: PoolId;
  readonly requestId: RequestId;
  readonly accountId: AccountId;
  /** Requests with the same key go to the same upstream while it has room; null for none. */
  readonly affinityKey: string | null;
  /** Upstreams that just failed this request; taken only when no other has room. */
  readonly excludedUpstreamIds: readonly UpstreamId[];
}

/** How an attempt ended. */
export interface AttemptOutcome {
  readonly upstreamId: UpstreamId;
  /** Incarnation that answered; null when none did. */
  readonly upstreamIncarnation: string | null;
  /** Null for a success. */
  readonly failure: AttemptFailure | null;
  readonly latencyMs: number;
}

/** What a pool can take now. */
export interface PoolCapacity {
  /** Attempts that the pool's usable upstreams bear together, by this host's limits. */
  readonly limit: number;
  /** Attempts of this host that run there. */
  readonly running: number;
  /** Upstreams that get new work. */
  readonly usableUpstreams: number;
}

/**
 * Chooses an upstream for each attempt and keeps the slots. Core's use:
 *
 * ```ts
 * const router = new PoolRouter(context, stewards);
 * router.setConfiguration(configuration);           // at each adopted version
 * const upstreamId = router.tryAcquire(request);    // null: queue the request
 * if (upstreamId !== null) context.emit({ kind: 'sendAttempt', upstreamId, ... });
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
  readonly #pools = new Map<PoolId, PoolRecord>();

  readonly #upstreams = new Map<UpstreamId, UpstreamRecord>();

  readonly #running = new Map<UpstreamId, number>();

  readonly #changedPools = new Set<PoolId>();

  #drains: readonly DrainRecord[] = [];

  /**
   * @param context - the time of the step and the way out
   * @param stewards - who grants the slots of cold upstreams
   */
  constructor(
    readonly context: CoreContext,
    readonly stewards: StewardDirectory,
  ) {}

  /**
   * Adopts pools, upstreams and drains; slots that run go on.
   *
   * @param configuration - the records in force
   */
  setConfiguration(configuration: RouterConfiguration): void {
    this.#pools.clear();
    this.#upstreams.clear();
    configuration.pools.forEach((pool) => this.#pools.set(pool.id as PoolId, pool));
    configuration.upstreams
      .forEach((upstream) => this.#upstreams.set(upstream.id as UpstreamId, upstream));
    this.setDrains(configuration.drains);
  }

  /**
   * Adopts the drains alone.
   *
   * @param drains - all that is out of service
   */
  setDrains(drains: readonly DrainRecord[]): void {
    this.#drains = drains;
    this.#pools.forEach((_, poolId) => this.#changedPools.add(poolId));
  }

  /**
   * Takes a slot at an upstream of the pool.
   *
   * @param request - what the attempt needs
   * @returns the upstream; null when none has room now
   */
  tryAcquire(request: AcquireRequest): UpstreamId | null {
    const candidates = this.#getUsable(request.poolId).filter((id) => this.#hasRoom(id));
    const others = candidates.filter((id) => !request.excludedUpstreamIds.includes(id));
    const choice = (others.length > 0 ? others : candidates)
      .sort((left, right) => this.#getRunning(left) - this.#getRunning(right))[0];
    if (choice === undefined) {
      return null;
    }
    this.#running.set(choice, this.#getRunning(choice) + 1);
    return choice;
  }

  /**
   * Frees the slot of an attempt that ended and learns from it.
   *
   * @param outcome - how it ended
   */
  noteOutcome(outcome: AttemptOutcome): void {
    this.noteCancelled(outcome.upstreamId);
  }

  /**
   * Frees the slot of an attempt that was cancelled, which says nothing about its upstream.
   *
   * @param upstreamId - where it ran
   */
  noteCancelled(upstreamId: UpstreamId): void {
    this.#running.set(upstreamId, Math.max(0, this.#getRunning(upstreamId) - 1));
    const poolId = this.#upstreams.get(upstreamId)?.poolId;
    if (poolId !== undefined) {
      this.#changedPools.add(poolId as PoolId);
    }
  }

  /**
   * Learns from a load report.
   *
   * @param _report - what the upstream said, with its lag
   */
  noteLoad(_report: LoadReportedInput): void {}

  /**
   * Learns that an upstream's load report could not be fetched.
   *
   * @param _upstreamId - the upstream
   */
  noteLoadUnavailable(_upstreamId: UpstreamId): void {}

  /**
   * Takes a peer's message about grants; others are passed over.
   *
   * @param _fromHostId - the sender
   * @param _message - the message
   */
  handlePeerMessage(_fromHostId: HostId, _message: PeerMessage): void {}

  /** Does the periodic work that is due. */
  tick(): void {}

  /**
   * @returns when the next tick is due; Infinity for never
   */
  getNextWakeMs(): number {
    return Infinity;
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
    const usable = this.#getUsable(poolId);
    const limit = usable.length * (this.#pools.get(poolId)?.maxConcurrency ?? 0);
    const running = usable.reduce((sum, id) => sum + this.#getRunning(id), 0);
    return { limit, running, usableUpstreams: usable.length };
  }

  #getUsable(poolId: PoolId): UpstreamId[] {
    return [...this.#upstreams.values()]
      .filter((upstream) => upstream.poolId === poolId && !this.#isDrained(upstream))
      .map((upstream) => upstream.id as UpstreamId);
  }

  #isDrained(upstream: UpstreamRecord): boolean {
    return this.#drains.some((drain) => (drain.kind === 'upstream' && drain.id === upstream.id)
      || (drain.kind === 'failureDomain' && drain.id === upstream.failureDomainId));
  }

  #hasRoom(upstreamId: UpstreamId): boolean {
    const poolId = this.#upstreams.get(upstreamId)?.poolId as PoolId;
    return this.#getRunning(upstreamId) < (this.#pools.get(poolId)?.maxConcurrency ?? 0);
  }

  #getRunning(upstreamId: UpstreamId): number {
    return this.#running.get(upstreamId) ?? 0;
  }
}
