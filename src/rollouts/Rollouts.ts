import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import { getRendezvousScore } from '../membership/getRendezvousScore.ts';
import type { Clock } from '../time/Clock.ts';
import { getTargetShare } from './getTargetShare.ts';
import { PoolTraffic, type ReporterIdentity } from './PoolTraffic.ts';
import { ROLLOUT_PHASE, isFinalPhase } from './ROLLOUT_PHASE.ts';
import type { RolloutReport, RolloutResponse } from './RolloutReport.ts';
import { RolloutRequest, type RolloutRule } from './RolloutRequest.ts';
import type { RolloutTable } from './RolloutTable.ts';

/** A longer time between two updates shows that this host stood still. */
const STALL_MS = 700;

/** Options of {@link Rollouts}. */
export interface RolloutsOptions {
  readonly clock: Clock;
  readonly identity: ReporterIdentity;
  readonly directory: Directory;
  readonly table: RolloutTable;
  /** Share of a pool's requests that a bad target may get between order and deadline. */
  readonly exposureShare: number;
  /** @returns the upstreams at which this host's requests to a pool run now, each once a request */
  readonly getRunningIds: (poolId: PoolId) => readonly UpstreamId[];
  readonly logger: Logger;
}

/** This host's part in rollouts: which requests go to a target, and what came of them. */
export class Rollouts {
  readonly #options: RolloutsOptions;

  readonly #traffic = new Map<PoolId, PoolTraffic>();

  #updatedAtMs = 0;

  /**
   * @param options - see {@link RolloutsOptions}
   */
  constructor(options: RolloutsOptions) {
    this.#options = options;
  }

  /**
   * @param poolId - pool of a request
   * @param route - name of its route
   * @param requestId - its id
   * @returns decides for the request; null while no rollout runs in the pool
   */
  open(poolId: PoolId, route: string, requestId: string): RolloutRequest | null {
    const { clock, table } = this.#options;
    if (table.isEmpty) {
      return null;
    }
    const traffic = this.#getTraffic(poolId);
    return traffic === null ? null : new RolloutRequest({
      clock,
      getRule: () => this.#getTrafficRule(poolId, traffic),
      drawn: getRendezvousScore(traffic.orderId, requestId),
      recorder: traffic.getRoute(route),
    });
  }

  /**
   * @param poolId - a pool
   * @returns where its requests go now; null while no rollout runs there
   */
  getRule(poolId: PoolId): RolloutRule | null {
    const traffic = this.#options.table.isEmpty ? null : this.#getTraffic(poolId);
    return traffic === null ? null : this.#getTrafficRule(poolId, traffic);
  }

  /** @returns the pools in which a rollout runs, with whether bad answers are not reported yet */
  getRunning(): { readonly poolId: PoolId; readonly hasNews: boolean }[] {
    return this.#options.table.getAll().flatMap(({ poolId }) => {
      const traffic = this.#getTraffic(poolId);
      return traffic === null ? [] : [{ poolId, hasNews: traffic.hasNews }];
    });
  }

  /** Counts slow answers that have not ended, and stops sends to targets that are bad here. */
  update(): void {
    const { clock, logger, table } = this.#options;
    table.updateBars();
    const nowMs = clock.getMonotonicMs();
    if (nowMs - this.#updatedAtMs > STALL_MS) {
      this.#traffic.forEach((traffic) => traffic.forgetOpen());
    }
    this.#updatedAtMs = nowMs;
    table.getAll().forEach(({ poolId }) => {
      const traffic = this.#getTraffic(poolId);
      if (traffic?.update(nowMs, this.#getRevision(poolId)) === true) {
        logger.warn({
          event: 'rolloutStoppedHere', poolId, report: this.createReport(poolId),
        }, 'this host sends nothing more to the target of a rollout, as its answers were bad');
      }
    });
  }

  /**
   * @param poolId - a pool
   * @returns what this host has seen; null while no rollout runs in the pool
   */
  createReport(poolId: PoolId): RolloutReport | null {
    const traffic = this.#getTraffic(poolId);
    return traffic?.createReport(
      this.#options.identity,
      poolId,
      this.#getRevision(poolId),
      this.#getOtherOpenCount(poolId),
    ) ?? null;
  }

  /**
   * @param report - a report of this host
   * @param response - the response of the leader to it
   */
  applyResponse({ poolId, orderId }: RolloutReport, response: RolloutResponse): void {
    const traffic = this.#traffic.get(poolId);
    if (traffic?.orderId === orderId) {
      traffic.setBounds(response.slowBounds);
      if (response.isStopped) {
        traffic.stop();
      }
    }
    const { status } = response;
    const knownRevision = this.#options.table.get(poolId)?.status?.revision ?? 0;
    if (status !== null && status.revision > knownRevision) {
      this.#options.directory.apply({ kind: 'rolloutStatus', status });
    }
  }

  /** Finds what this host knows of the order that runs in a pool; null when none runs. */
  #getTraffic(poolId: PoolId): PoolTraffic | null {
    const rollout = this.#options.table.get(poolId);
    const { order = null, status = null } = rollout ?? {};
    const orderId = order?.orderId ?? status?.orderId ?? null;
    const hasEnded = status !== null && status.orderId === orderId && isFinalPhase(status.phase);
    if (orderId === null || hasEnded) {
      this.#traffic.delete(poolId);
      return null;
    }
    const known = this.#traffic.get(poolId);
    if (known?.orderId === orderId) {
      return known;
    }
    const traffic = new PoolTraffic(orderId);
    this.#traffic.set(poolId, traffic);
    return traffic;
  }

  #getRevision(poolId: PoolId): number {
    const rollout = this.#options.table.get(poolId);
    const { status = null } = rollout ?? {};
    return status !== null && status.orderId === this.#traffic.get(poolId)?.orderId
      ? status.revision
      : 0;
  }

  #getTrafficRule(poolId: PoolId, traffic: PoolTraffic): RolloutRule | null {
    const { clock, table, exposureShare } = this.#options;
    const rollout = table.get(poolId);
    if (rollout === undefined || this.#getTraffic(poolId) !== traffic) {
      return null;
    }
    const {
      order, status, orderedAtMs, phaseSinceMs,
    } = rollout;
    const targetVersion = order?.targetVersion ?? status?.targetVersion ?? null;
    if (targetVersion === null) {
      return null;
    }
    // Nothing goes to the target before the leader has written that the rollout runs. Once all
    // requests go there, only the store's status takes them back: another leader may complete the
    // rollout by the earlier reports of hosts meanwhile, which stops the other upstreams.
    const isOpen = order !== null && status?.orderId === order.orderId
      && (status.phase === ROLLOUT_PHASE.finish || !traffic.hasStopped(status.revision));
    const nowMs = clock.getMonotonicMs();
    const isReplaced = status !== null && order !== null && status.orderId !== order.orderId
      && !isFinalPhase(status.phase) && status.targetVersion !== targetVersion;
    return {
      orderId: traffic.orderId,
      targetVersion,
      formerTarget: isReplaced ? status.targetVersion : null,
      targetShare: isOpen ? getTargetShare({
        phase: status.phase,
        phaseMs: nowMs - phaseSinceMs,
        // Also by the wall time of the first status, as this process may have started later.
        elapsedMs: Math.max(nowMs - orderedAtMs, clock.getWallMs() - status.startedAtMs),
        durationMs: order.durationMs,
        exposureShare,
      }) : 0,
    };
  }

  #getOtherOpenCount(poolId: PoolId): number {
    const { directory, table, getRunningIds } = this.#options;
    const rollout = table.get(poolId);
    const target = rollout?.order?.targetVersion ?? rollout?.status?.targetVersion;
    return getRunningIds(poolId)
      .filter((id) => directory.getUpstream(id)?.entry.softwareVersion !== target).length;
  }
}
