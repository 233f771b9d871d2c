import type { ClaimMember, ClaimOwners } from '../claims/ClaimManager.ts';
import type { SelfIdentity } from '../core/CoreContext.ts';
import type { CostDuties } from '../cost/CostLedger.ts';
import type { DutyAssignment } from '../duties/DutyAssignment.ts';
import type { HostId, IncarnationId } from '../lib/ids.ts';
import { getHighestScored } from '../membership/getHighestScored.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import type { QuarantinePeer } from '../quarantine/Quarantine.ts';
import type { FleetListener } from './FleetListener.ts';

const HOLDER_DUTY = 'costHolder';

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

/** What the cost ledger is told. */
export interface CostFollower {
  setDuties(duties: CostDuties): void;
  recordIncarnationGone(incarnationId: IncarnationId): void;
}

/** What the quarantine is told. */
export interface QuarantineFollower {
  setPeers(peers: readonly QuarantinePeer[]): void;
}

/** The managers that follow the fleet. */
export interface FleetFollowers {
  readonly self: SelfIdentity;
  readonly claims: ClaimFollower;
  readonly costs: CostFollower;
  readonly quarantine: QuarantineFollower;
  readonly configuration: ConfigurationVersionFollower;
  /**
   * @returns the members as they are now
   */
  readonly getMembers: () => readonly MemberRecord[];
}

function getOthers(
  { self, getMembers }: FleetFollowers,
): readonly MemberRecord[] {
  return getMembers()
    .filter(({ hostId, state }) => hostId !== self.hostId && state === 'alive');
}

function getCostDuties(duties: DutyAssignment, followers: FleetFollowers): CostDuties {
  const { self } = followers;
  const others = getOthers(followers);
  const near = others.filter(({ failureDomainId }) => failureDomainId === self.failureDomainId);
  // A peer of another failure domain keeps the copy when the whole domain goes.
  const far = others.filter(({ failureDomainId }) => failureDomainId !== self.failureDomainId);
  const holderIds = (far.length > 0 ? far : near).map(({ hostId }) => hostId);
  const { members, ownerHostIds } = getClaimOwners(duties, followers.getMembers());
  return {
    members,
    ownerHostIds,
    copyHolderHostId: getHighestScored(`${HOLDER_DUTY} ${self.hostId}`, holderIds, 1)[0] ?? null,
  };
}

/**
 * Connects the fleet to the managers that use it.
 *
 * @param followers - the managers
 * @returns the listener
 */
export function createFleetListener(followers: FleetFollowers): FleetListener {
  const {
    claims, costs, quarantine, configuration, getMembers,
  } = followers;
  const starts = new Map<HostId, IncarnationId>();
  const noteGone = (incarnationId: IncarnationId): void => {
    claims.noteIncarnationGone(incarnationId);
    costs.recordIncarnationGone(incarnationId);
  };
  return {
    onMemberChanged: ({ hostId, incarnationId, state }) => {
      const earlier = starts.get(hostId);
      if (earlier !== undefined && earlier !== incarnationId) {
        noteGone(earlier);
      }
      starts.set(hostId, incarnationId);
      if (state === 'dead') {
        noteGone(incarnationId);
      }
    },
    onNewerConfiguration: ({ hostId, peerAddress, configurationVersion }) => {
      configuration.noteDigest(hostId, peerAddress, configurationVersion);
    },
    onDutiesChanged: (duties) => {
      claims.setOwners(getClaimOwners(duties, getMembers()));
      costs.setDuties(getCostDuties(duties, followers));
      quarantine.setPeers(getOthers(followers).map(({ hostId, peerAddress }) => ({
        hostId, address: peerAddress,
      })));
      configuration.setIsWatcher(duties.isConfigurationWatcher());
    },
  };
}
