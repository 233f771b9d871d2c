import type { DrainRecord } from '../configuration/records/DrainRecord.ts';
import type { UpstreamRecord } from '../configuration/records/UpstreamRecord.ts';

/**
 * @param upstream - an upstream
 * @param drains - all that is out of service
 * @returns whether the upstream is out of service, alone or with its failure domain
 */
export function isDrained(upstream: UpstreamRecord, drains: readonly DrainRecord[]): boolean {
  return drains.some((drain) => (drain.kind === 'upstream' && drain.id === upstream.id)
    || (drain.kind === 'failureDomain' && drain.id === upstream.failureDomainId));
}
