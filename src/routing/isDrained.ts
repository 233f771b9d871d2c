import type { DrainRecord } from '../configuration/records/DrainRecord.ts';
import type { UpstreamRecord } from '../configuration/records/UpstreamRecord.ts';

/**
 * Checks whether an upstream is drained.
 *
 * @param upstream - the upstream
 * @param drains - all current drains
 * @returns whether a drain covers the upstream or its failure domain
 */
export function isDrained(upstream: UpstreamRecord, drains: readonly DrainRecord[]): boolean {
  return drains.some((drain) => (drain.kind === 'upstream' && drain.id === upstream.id)
    || (drain.kind === 'failureDomain' && drain.id === upstream.failureDomainId));
}
