import type { Directory } from '../directory/Directory.ts';
import type { DirectoryChange } from '../directory/DirectoryChange.ts';
import type { EraBound } from '../directory/EraBound.ts';
import type { PoolId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import { ROLLOUT_PHASE, isFinalPhase } from './ROLLOUT_PHASE.ts';
import type { RolloutOrder } from './RolloutOrder.ts';
import type { RolloutStatus } from './RolloutStatus.ts';

/** What this host knows of the newest rollout of a pool. */
export interface PoolRollout {
  readonly poolId: PoolId;
  /** The operator's order; null when there is none, or none that can be read. */
  readonly order: RolloutOrder | null;
  /** Monotonic time when this host learned of the order. */
  readonly orderedAtMs: number;
  /** The newest status; a final one is kept for as long as its order stands. */
  readonly status: RolloutStatus | null;
  /** Monotonic time when this host learned of the phase of the status. */
  readonly phaseSinceMs: number;
  /** Revision of the status in the store; 0 when it has none. */
  readonly storedRevision: EraBound;
}

/**
 * Time for which a pool had only versions that get no requests, after which these are used again:
 * the operators have replaced all other upstreams.
 */
const ONLY_BARRED_MS = 10_000;

/** @returns the versions that get no requests by a status */
function getBarredVersions(status: RolloutStatus): Set<string | null> {
  const barred = new Set<string | null>(status.barredVersions);
  if (status.phase === ROLLOUT_PHASE.rolledBack) {
    barred.add(status.targetVersion);
  } else if (status.phase === ROLLOUT_PHASE.completed) {
    status.replacedVersions.forEach((version) => barred.add(version));
    barred.delete(status.targetVersion);
  }
  return barred;
}

/** Knows the orders and statuses of rollouts, and closes the versions that these rule out. */
export class RolloutTable {
  readonly #clock: Clock;

  readonly #directory: Directory;

  readonly #rollouts = new Map<PoolId, PoolRollout>();

  readonly #onlyBarredSince = new Map<PoolId, number>();

  /**
   * @param clock - the time
   * @param directory - brings the orders and the statuses, and gets the closed versions
   */
  constructor(clock: Clock, directory: Directory) {
    this.#clock = clock;
    this.#directory = directory;
    directory.onChange((change) => this.#apply(change));
  }

  /** Whether no order and no status is known, which is so on most deployments. */
  get isEmpty(): boolean {
    return this.#rollouts.size === 0;
  }

  /** @returns the rollouts that are known, also those that have ended */
  getAll(): readonly PoolRollout[] {
    return [...this.#rollouts.values()];
  }

  /**
   * @param poolId - a pool
   * @returns its newest rollout; undefined when there is none
   */
  get(poolId: PoolId): PoolRollout | undefined {
    return this.#rollouts.get(poolId);
  }

  /** Opens versions again that were closed, once a pool has had no other ones for a while. */
  updateBars(): void {
    this.#rollouts.forEach(({ poolId, status }) => {
      if (status !== null) {
        this.#updateBars(poolId, status);
      }
    });
  }

  #apply(change: DirectoryChange): void {
    switch (change.kind) {
      case 'rolloutOrdered':
        this.#applyOrder(change.order);
        break;
      case 'rolloutWithdrawn':
        this.#update(change.poolId, { order: null });
        break;
      case 'rolloutStatus':
        this.#applyStatus(change.status);
        break;
      case 'storeEraChanged':
        this.#rollouts.forEach(({ poolId }) => this.#update(poolId, { storedRevision: 0 }));
        break;
      default:
        break;
    }
  }

  #applyOrder(order: RolloutOrder): void {
    if (this.#rollouts.get(order.poolId)?.order?.orderId !== order.orderId) {
      this.#update(order.poolId, { order, orderedAtMs: this.#clock.getMonotonicMs() });
    }
  }

  #applyStatus(status: RolloutStatus): void {
    const known = this.#rollouts.get(status.poolId);
    const storedRevision = Math.max(known?.storedRevision ?? 0, status.revision);
    const current = known?.status ?? null;
    if (current !== null && status.revision <= current.revision) {
      this.#update(status.poolId, { storedRevision });
      return;
    }
    // A store that came back from an older copy may lack the end of the rollout.
    const isEnded = current !== null && current.orderId === status.orderId
      && isFinalPhase(current.phase) && current.phase !== status.phase;
    if (isEnded) {
      this.#update(status.poolId, { storedRevision });
      return;
    }
    const isSamePhase = current?.orderId === status.orderId && current.phase === status.phase;
    this.#update(status.poolId, {
      status,
      storedRevision,
      ...(isSamePhase ? {} : { phaseSinceMs: this.#clock.getMonotonicMs() }),
    });
    this.#updateBars(status.poolId, status);
  }

  #update(poolId: PoolId, change: Partial<PoolRollout>): void {
    const known = this.#rollouts.get(poolId) ?? {
      poolId,
      order: null,
      orderedAtMs: 0,
      status: null,
      phaseSinceMs: 0,
      storedRevision: 0,
    };
    this.#rollouts.set(poolId, { ...known, ...change });
  }

  #updateBars(poolId: PoolId, status: RolloutStatus): void {
    const barred = getBarredVersions(status);
    const versions = [...this.#directory.getSoftwareVersions(poolId)];
    const hasOnlyBarred = versions.length > 0 && versions.every((version) => barred.has(version));
    const nowMs = this.#clock.getMonotonicMs();
    const sinceMs = hasOnlyBarred ? this.#onlyBarredSince.get(poolId) ?? nowMs : null;
    if (sinceMs === null) {
      this.#onlyBarredSince.delete(poolId);
    } else {
      this.#onlyBarredSince.set(poolId, sinceMs);
    }
    const isInUse = sinceMs !== null && nowMs - sinceMs >= ONLY_BARRED_MS;
    this.#directory.setBarredVersions(poolId, isInUse ? new Set() : barred);
  }
}
