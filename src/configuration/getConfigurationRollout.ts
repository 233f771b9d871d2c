import type { HostId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';

/** Hosts that have and have not applied an accepted configuration. */
export interface ConfigurationRollout {
  /** Hosts that have reported this version or a later one. */
  readonly inForceHostIds: readonly HostId[];
  /** Live hosts that have not reported it yet. */
  readonly pendingHostIds: readonly HostId[];
}

/**
 * Partitions the live hosts by the configuration version that they reported. Hosts that are leaving
 * accept no new requests, so neither list contains them.
 *
 * @param version - the accepted version
 * @param members - all members, including this host
 * @returns the hosts with and without the version
 */
export function getConfigurationRollout(
  version: number,
  members: readonly MemberRecord[],
): ConfigurationRollout {
  const live = members.filter(({ state }) => state === 'alive' || state === 'suspect');
  const getIds = (selected: readonly MemberRecord[]): HostId[] => selected
    .map(({ hostId }) => hostId);
  return {
    inForceHostIds: getIds(live.filter((member) => member.configurationVersion >= version)),
    pendingHostIds: getIds(live.filter((member) => member.configurationVersion < version)),
  };
}
