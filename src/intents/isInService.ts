import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import { DRAIN_TARGET_KIND, type DrainRecord } from '../configuration/records/DrainRecord.ts';
import type { UpstreamRecord } from '../configuration/records/UpstreamRecord.ts';
import type { PlanHost } from './FleetState.ts';

/**
 * @param left - one target
 * @param right - another target
 * @returns whether both name the same thing
 */
export function isSameDrain(left: DrainRecord, right: DrainRecord): boolean {
  return left.kind === right.kind && left.id === right.id;
}

/**
 * Tells whether operators let an upstream take new work.
 *
 * @param upstream - the upstream
 * @param drains - what is out of service
 * @returns false when it or its failure domain is drained
 */
export function isInService(upstream: UpstreamRecord, drains: readonly DrainRecord[]): boolean {
  return !drains.some(({ kind, id }) => (
    (kind === DRAIN_TARGET_KIND.upstream && id === upstream.id)
    || (kind === DRAIN_TARGET_KIND.failureDomain && id === upstream.failureDomainId)));
}

/**
 * Tells whether operators let an entry host take new requests.
 *
 * @param host - the host
 * @param drains - what is out of service
 * @returns false when it or its failure domain is drained
 */
export function isHostInService(host: PlanHost, drains: readonly DrainRecord[]): boolean {
  return !drains.some(({ kind, id }) => (
    (kind === DRAIN_TARGET_KIND.host && id === host.hostId)
    || (kind === DRAIN_TARGET_KIND.failureDomain && id === host.failureDomainId)));
}

/**
 * @param configuration - the configuration
 * @param poolId - a pool
 * @returns the upstreams of the pool that may take new work
 */
export function getInServiceUpstreams(
  configuration: ConfigurationRecord,
  poolId: string,
): readonly UpstreamRecord[] {
  return configuration.upstreams.filter((upstream) => (
    upstream.poolId === poolId && isInService(upstream, configuration.drains)));
}
