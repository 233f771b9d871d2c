import type { ClaimMember, ClaimOwners } from '../claims/ClaimManager.ts';
import type { DutyAssignment } from '../duties/DutyAssignment.ts';
import type { HostId, IncarnationId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import type { FleetListener } from './FleetListener.ts';

/** What the claim log is told. */
export interface ClaimFollower {
  setOwners(owners: ClaimOwners): void;
  noteIncarnationGone(incarnationId: IncarnationId): void;
}

/** What the follower of the configuration is told. */
export interface ConfigurationVersionFollower {
  noteDigest(hostId: HostId, address: string, version: number): void;
  setIsWatcher(isWatcher: boolean): void;
}

function getClaimOwners(duties: DutyAssignment, members: readonly MemberRecord[]): ClaimOwners {
  const claimMembers = members
    .filter(({ state }) => state !== 'dead')
    .map(({ hostId, incarnationId, peerAddress }): ClaimMember => ({
      hostId, incarnationId, address: peerAddress,
    }));
  return { members: claimMembers, ownerHostIds: duties.getClaimOwners() };
}

/**
 * Connects the fleet to the managers that use it.
 *
 * @param claims - the claim log
 * @param configuration - the follower of the configuration
 * @param getMembers - the members as they are now
 * @returns the listener
 */
export function createFleetListener(
  claims: ClaimFollower,
  configuration: ConfigurationVersionFollower,
  getMembers: () => readonly MemberRecord[],
): FleetListener {
  const starts = new Map<HostId, IncarnationId>();
  return {
    onMemberChanged: ({ hostId, incarnationId, state }) => {
      const earlier = starts.get(hostId);
      if (earlier !== undefined && earlier !== incarnationId) {
        claims.noteIncarnationGone(earlier);
      }
      starts.set(hostId, incarnationId);
      if (state === 'dead') {
        claims.noteIncarnationGone(incarnationId);
      }
    },
    onNewerConfiguration: ({ hostId, peerAddress, configurationVersion }) => {
      configuration.noteDigest(hostId, peerAddress, configurationVersion);
    },
    onDutiesChanged: (duties) => {
      claims.setOwners(getClaimOwners(duties, getMembers()));
      configuration.setIsWatcher(duties.isConfigurationWatcher());
    },
  };
}
