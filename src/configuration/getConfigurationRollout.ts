import type { HostId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';

/** Where an accepted configuration has arrived. */
export interface ConfigurationRollout {
  /** Hosts that reported this version or a later one. */
  readonly inForceHostIds: readonly HostId[];
  /** Live hosts that have not reported it yet. */
  readonly pendingHostIds: readonly HostId[];
}

/**
 * Splits the live hosts by the configuration version that they reported. Hosts that are leaving
 * take no new work, so they count in neither list.
 *
 * @param version - the accepted version
 * @param members - all members, the own host among them
 * @returns the two lists
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
