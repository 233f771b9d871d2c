import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import { DRAIN_TARGET_KIND, type DrainRecord } from '../configuration/records/DrainRecord.ts';
import type { UpstreamRecord } from '../configuration/records/UpstreamRecord.ts';
import type { PlanHost } from './FleetState.ts';

/**
 * Compares the targets of two drains.
 *
 * @param left - one target
 * @param right - another target
 * @returns whether both are the same target
 */
export function isSameDrain(left: DrainRecord, right: DrainRecord): boolean {
  return left.kind === right.kind && left.id === right.id;
}

/**
 * Checks whether an upstream is in service, that is, not drained by operators.
 *
 * @param upstream - the upstream
 * @param drains - the drained targets
 * @returns false when it or its failure domain is drained
 */
export function isInService(upstream: UpstreamRecord, drains: readonly DrainRecord[]): boolean {
  return !drains.some(({ kind, id }) => (
    (kind === DRAIN_TARGET_KIND.upstream && id === upstream.id)
    || (kind === DRAIN_TARGET_KIND.failureDomain && id === upstream.failureDomainId)));
}

/**
 * Checks whether an entry host is in service, that is, not drained by operators.
 *
 * @param host - the host
 * @param drains - the drained targets
 * @returns false when it or its failure domain is drained
 */
export function isHostInService(host: PlanHost, drains: readonly DrainRecord[]): boolean {
  return !drains.some(({ kind, id }) => (
    (kind === DRAIN_TARGET_KIND.host && id === host.hostId)
    || (kind === DRAIN_TARGET_KIND.failureDomain && id === host.failureDomainId)));
}

/**
 * Returns the upstreams of a pool that are in service.
 *
 * @param configuration - the configuration
 * @param poolId - id of the pool
 * @returns the upstreams that are not drained
 */
export function getInServiceUpstreams(
  configuration: ConfigurationRecord,
  poolId: string,
): readonly UpstreamRecord[] {
  return configuration.upstreams.filter((upstream) => (
    upstream.poolId === poolId && isInService(upstream, configuration.drains)));
}
