import type { Directory } from '../directory/Directory.ts';
import { getCachedTokens, type EngineTable } from './EngineTable.ts';
import { getGroupUpstreams } from './getGroupUpstreams.ts';
import type { PlacementRequest } from './PlacementRequest.ts';

/**
 * @param directory - the known engines
 * @param engines - what they likely cache
 * @param request - a request
 * @returns the failure domain of the engine that caches most of its prompt; null if there is none
 */
export function getPreferredDomain(
  directory: Directory,
  engines: EngineTable,
  {
    poolId, domains, softwareVersion, parts,
  }: PlacementRequest,
): string | null {
  let best: { domain: string; tokens: number } | null = null;
  getGroupUpstreams(directory, { poolId, domains, softwareVersion }).forEach(({ entry }) => {
    const tokens = getCachedTokens(engines.get(entry.id), parts);
    if (tokens > (best?.tokens ?? 0)) {
      best = { domain: entry.failureDomain, tokens };
    }
  });
  return (best as { domain: string } | null)?.domain ?? null;
}
