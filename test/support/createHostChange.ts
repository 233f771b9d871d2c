import type { DirectoryChange } from '../../src/directory/DirectoryChange.ts';
import type { KnownHost } from '../../src/directory/HostEntry.ts';
import { toId, type HostId } from '../../src/lib/ids.ts';

/**
 * @param name - the host's id
 * @param differences - fields that differ from a host of failure domain `a` with one core
 * @returns the directory change that adds the host
 */
export function createHostChange(
  name: string,
  differences: Partial<KnownHost> = {},
): Extract<DirectoryChange, { kind: 'host' }> {
  return {
    kind: 'host',
    entry: {
      id: toId<HostId>(name),
      failureDomain: 'a',
      peerAddress: `${name}:1`,
      processorCores: 1,
      linkMbps: 1,
      registeredRevision: 1,
      ...differences,
    },
  };
}
