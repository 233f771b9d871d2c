import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { EraBound } from '../directory/EraBound.ts';
import type { PoolId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import { createFirstDecision } from './createFirstDecision.ts';
import { decideRollout } from './decideRollout.ts';
import { OrderEvidence } from './OrderEvidence.ts';
import { isFinalPhase } from './ROLLOUT_PHASE.ts';
import type { RolloutReport, RolloutResponse } from './RolloutReport.ts';
import type { RolloutDecision, RolloutStatus } from './RolloutStatus.ts';
import type { RolloutStore } from './RolloutStore.ts';
import type { PoolRollout, RolloutTable } from './RolloutTable.ts';

/** Options of a {@link RolloutLeader}. */
export interface RolloutLeaderOptions {
  readonly clock: Clock;
  readonly directory: Directory;
  readonly table: RolloutTable;
  readonly store: RolloutStore;
  readonly logger: Logger;
}

/** Pause after a write that failed or met a newer status. */
const WRITE_PAUSE_MS = 300;
/** A status that the store should have, but hasn't, is written again after this time. */
const REWRITE_DELAY_MS = 1_000;

/**
 * Decides the phases of rollouts from the reports of all hosts, while this host leads. Each phase
 * is written to the store under the condition that the status is the one that it was decided on, so
 * that of two hosts that take themselves for the leader only one decides.
 */
export class RolloutLeader {
  readonly #options: RolloutLeaderOptions;

  readonly #evidence = new Map<PoolId, OrderEvidence>();

  /** Pools whose status is being written, or may be written again at this time only. */
  readonly #nextWriteAtMs = new Map<PoolId, number>();

  /** Orders whose target was found bad. */
  readonly #badOrders = new Set<string>();

  /**
   * @param options - see {@link RolloutLeaderOptions}
   */
  constructor(options: RolloutLeaderOptions) {
    this.#options = options;
  }

  /**
   * Takes a report of a host, also of this one.
   *
   * @param report - the report
   * @returns what the host should know
   */
  handleReport(report: RolloutReport): RolloutResponse {
    const { clock, table } = this.#options;
    const rollout = table.get(report.poolId);
    const response = {
      status: rollout?.status ?? null, isStopped: this.#badOrders.has(report.orderId),
    };
    const currentId = rollout?.order?.orderId ?? rollout?.status?.orderId ?? report.orderId;
    if (report.orderId !== currentId) {
      // A host that is behind must not end the evidence on the current order.
      return { ...response, slowBounds: [] };
    }
    const evidence = this.#getEvidence(report.poolId, report.orderId);
    evidence.add(report, clock.getMonotonicMs());
    return { ...response, slowBounds: evidence.getSlowBounds() };
  }

  /** Decides what is due; called periodically while this host leads. */
  run(): void {
    this.#options.table.getAll().forEach((rollout) => this.#runPool(rollout));
  }

  #getEvidence(poolId: PoolId, orderId: string): OrderEvidence {
    const known = this.#evidence.get(poolId);
    if (known?.orderId === orderId) {
      return known;
    }
    const evidence = new OrderEvidence(orderId);
    this.#evidence.set(poolId, evidence);
    return evidence;
  }

  #runPool(rollout: PoolRollout): void {
    const { order, status } = rollout;
    if (order !== null && status?.orderId !== order.orderId) {
      this.#start(rollout);
    } else if (status !== null && isFinalPhase(status.phase)) {
      this.#restore(rollout, status);
    } else if (status !== null) {
      this.#continue(rollout, status);
    }
  }

  #start({ order, status, storedRevision }: PoolRollout): void {
    const { clock, directory, table } = this.#options;
    if (order !== null && directory.configuration !== null) {
      this.#write(createFirstDecision({
        order,
        before: status,
        versions: directory.getSoftwareVersions(order.poolId),
        isKnownPool: directory.configuration.pools.has(order.poolId),
        nowMs: clock.getWallMs(),
      }), storedRevision, table.get(order.poolId));
    }
  }

  /** Writes a final status again that the store has lost with its newest content. */
  #restore(rollout: PoolRollout, status: RolloutStatus): void {
    const isLost = rollout.storedRevision !== status.revision
      && this.#options.clock.getMonotonicMs() - rollout.phaseSinceMs > REWRITE_DELAY_MS
      && (this.#options.directory.ageMs ?? Infinity) < REWRITE_DELAY_MS;
    if (isLost) {
      this.#write(status, rollout.storedRevision, rollout);
    }
  }

  #continue(rollout: PoolRollout, status: RolloutStatus): void {
    const { clock, directory } = this.#options;
    const { order, poolId } = rollout;
    const evidence = this.#getEvidence(poolId, status.orderId);
    evidence.judge.update(evidence.getTotals());
    const verdict = evidence.judge.getVerdict();
    if (verdict.kind === 'bad') {
      this.#badOrders.add(status.orderId);
    }
    const nowMs = clock.getMonotonicMs();
    // A host that started later learns from the status how long ago the order was.
    const elapsedMs = Math.max(
      nowMs - rollout.orderedAtMs,
      clock.getWallMs() - status.startedAtMs,
    );
    const decision = decideRollout({
      phase: status.phase,
      isOrdered: order?.orderId === status.orderId,
      elapsedMs,
      phaseMs: nowMs - rollout.phaseSinceMs,
      durationMs: order?.durationMs ?? 0,
      verdict,
      blockedBy: evidence.findBlocking(directory.hosts.keys(), status.revision, nowMs),
    });
    if (decision !== null) {
      const versions = directory.getSoftwareVersions(poolId);
      const replacedVersions = [...new Set([...status.replacedVersions, ...versions])]
        .filter((version) => version !== null && version !== status.targetVersion);
      this.#write(
        { ...status, ...decision, replacedVersions: replacedVersions as string[] },
        rollout.storedRevision,
        rollout,
      );
    }
  }

  #write(
    { revision: _revision, ...decision }: RolloutDecision & { readonly revision?: EraBound },
    expectedRevision: EraBound,
    rollout: PoolRollout | undefined,
  ): void {
    const { poolId } = decision;
    const { clock, logger } = this.#options;
    if (clock.getMonotonicMs() < (this.#nextWriteAtMs.get(poolId) ?? 0)) {
      return;
    }
    this.#nextWriteAtMs.set(poolId, Infinity);
    const inputs = {
      decision,
      phaseBefore: rollout?.status?.phase ?? null,
      totals: this.#evidence.get(poolId)?.getTotals()
        .map(({ route, target, others }) => ({ route, target, others })) ?? [],
    };
    logger.info({ event: 'rolloutDecided', poolId, ...inputs }, 'decided the phase of a rollout');
    this.#writeToStore(decision, expectedRevision)
      .then((pauseMs) => this.#nextWriteAtMs.set(poolId, clock.getMonotonicMs() + pauseMs))
      .catch((error: unknown) => {
        logger.error(
          { event: 'rolloutFailed', poolId, error: String(error) },
          'applying the status of a rollout failed',
        );
        this.#nextWriteAtMs.set(poolId, clock.getMonotonicMs() + WRITE_PAUSE_MS);
      });
  }

  /** @returns the pause until the next write */
  async #writeToStore(
    decision: RolloutDecision,
    expectedRevision: EraBound,
  ): Promise<number> {
    const { directory, store, logger } = this.#options;
    const { poolId, phase } = decision;
    let revision: EraBound | null = null;
    try {
      revision = await store.writeRolloutStatus(decision, expectedRevision);
    } catch (error) {
      logger.warn(
        {
          event: 'rolloutNotWritten', poolId, phase, error: String(error),
        },
        'the status of a rollout could not be written; retrying',
      );
      return WRITE_PAUSE_MS;
    }
    if (revision === null) {
      logger.info(
        { event: 'rolloutConflict', poolId, phase },
        'the status of a rollout has changed meanwhile; deciding again',
      );
      return WRITE_PAUSE_MS;
    }
    directory.apply({ kind: 'rolloutStatus', status: { ...decision, revision } });
    return 0;
  }
}
