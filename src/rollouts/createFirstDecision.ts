import { ROLLOUT_PHASE } from './ROLLOUT_PHASE.ts';
import type { RolloutOrder } from './RolloutOrder.ts';
import type { RolloutDecision, RolloutStatus } from './RolloutStatus.ts';

/** What the first decision on an order is made of. */
export interface FirstDecisionInputs {
  readonly order: RolloutOrder;
  /** Status of the pool's order before this one; null when there was none. */
  readonly before: RolloutStatus | null;
  /** Versions of the pool's upstreams. */
  readonly versions: ReadonlySet<string | null>;
  /** Whether the configuration has the pool. */
  readonly isKnownPool: boolean;
  /** Wall time. */
  readonly nowMs: number;
}

/** Finds the versions that get no requests, by the order before. */
function getBarred(before: RolloutStatus | null, targetVersion: string): string[] {
  const former = before === null ? [] : [
    ...before.barredVersions,
    ...(before.phase === ROLLOUT_PHASE.completed
      ? before.replacedVersions
      : [before.targetVersion]),
  ];
  return [...new Set(former)].filter((version) => version !== targetVersion);
}

/**
 * Decides what becomes of a new order. An order that replaces a running one ends it: the target
 * before gets no requests any more.
 *
 * @param inputs - the order and what is known
 * @returns the first status of the order
 */
export function createFirstDecision({
  order: { poolId, orderId, targetVersion }, before, versions, isKnownPool, nowMs,
}: FirstDecisionInputs): RolloutDecision {
  const barredVersions = getBarred(before, targetVersion);
  const servesAlone = versions.has(targetVersion) && [...versions].every((version) => (
    version === targetVersion || (version !== null && barredVersions.includes(version))));
  const first = {
    poolId,
    orderId,
    targetVersion,
    startedAtMs: nowMs,
    replacedVersions: [],
    barredVersions,
  };
  if (!isKnownPool) {
    return { ...first, phase: ROLLOUT_PHASE.rolledBack, reason: 'no such service' };
  }
  return servesAlone
    ? { ...first, phase: ROLLOUT_PHASE.completed, reason: 'the target serves alone already' }
    : { ...first, phase: ROLLOUT_PHASE.canary, reason: 'ordered' };
}
