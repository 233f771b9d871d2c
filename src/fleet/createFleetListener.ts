import type { ClaimMember, ClaimOwners } from '../claims/ClaimManager.ts';
import type { SelfIdentity } from '../core/CoreContext.ts';
import type { CostDuties } from '../cost/CostLedger.ts';
import type { DutyAssignment } from '../duties/DutyAssignment.ts';
import type { HostId, IncarnationId } from '../lib/ids.ts';
import { getHighestScored } from '../membership/getHighestScored.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import type { QuarantinePeer } from '../quarantine/Quarantine.ts';
import type { FleetListener } from './FleetListener.ts';

const COST_HOLDER_DUTY = 'costHolder';

/** What the claim log is told. */
export interface ClaimObserver {
  setOwners(owners: ClaimOwners): void;
  recordIncarnationGone(incarnationId: IncarnationId): void;
}

/** What the follower of the configuration is told. */
export interface ConfigurationVersionObserver {
  recordPeerVersion(hostId: HostId, address: string, version: number): void;
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
export interface CostObserver {
  setDuties(duties: CostDuties): void;
  recordIncarnationGone(incarnationId: IncarnationId): void;
}

/** What the quarantine is told. */
export interface QuarantineObserver {
  setPeers(peers: readonly QuarantinePeer[]): void;
}

/** The managers that follow the fleet. */
export interface FleetListenerOptions {
  readonly self: SelfIdentity;
  readonly claims: ClaimObserver;
  readonly costs: CostObserver;
  readonly quarantine: QuarantineObserver;
  readonly configuration: ConfigurationVersionObserver;
  /**
   * @returns the members as they are now
   */
  readonly getMembers: () => readonly MemberRecord[];
}

function getAlivePeers(
  { self, getMembers }: FleetListenerOptions,
): readonly MemberRecord[] {
  return getMembers()
    .filter(({ hostId, state }) => hostId !== self.hostId && state === 'alive');
}

function getCostDuties(duties: DutyAssignment, followers: FleetListenerOptions): CostDuties {
  const { self } = followers;
  const others = getAlivePeers(followers);
  const sameDomainPeers = others.filter(({ failureDomainId }) => failureDomainId === self.failureDomainId);
  // A peer of another failure domain keeps the copy when the whole domain goes.
  const otherDomainPeers = others.filter(({ failureDomainId }) => failureDomainId !== self.failureDomainId);
  const holderIds = (otherDomainPeers.length > 0 ? otherDomainPeers : sameDomainPeers).map(({ hostId }) => hostId);
  const { members, ownerHostIds } = getClaimOwners(duties, followers.getMembers());
  return {
    members,
    ownerHostIds,
    copyHolderHostId: getHighestScored(`${COST_HOLDER_DUTY} ${self.hostId}`, holderIds, 1)[0] ?? null,
  };
}

/**
 * Connects the fleet to the managers that use it.
 *
 * @param followers - the managers
 * @returns the listener
 */
export function createFleetListener(followers: FleetListenerOptions): FleetListener {
  const {
    claims, costs, quarantine, configuration, getMembers,
  } = followers;
  const incarnationIds = new Map<HostId, IncarnationId>();
  const reportIncarnationGone = (incarnationId: IncarnationId): void => {
    claims.recordIncarnationGone(incarnationId);
    costs.recordIncarnationGone(incarnationId);
  };
  return {
    onMemberChanged: ({ hostId, incarnationId, state }) => {
      const previousId = incarnationIds.get(hostId);
      if (previousId !== undefined && previousId !== incarnationId) {
        reportIncarnationGone(previousId);
      }
      incarnationIds.set(hostId, incarnationId);
      if (state === 'dead') {
        reportIncarnationGone(incarnationId);
      }
    },
    onNewerConfiguration: ({ hostId, peerAddress, configurationVersion }) => {
      configuration.recordPeerVersion(hostId, peerAddress, configurationVersion);
    },
    onDutiesChanged: (duties) => {
      claims.setOwners(getClaimOwners(duties, getMembers()));
      costs.setDuties(getCostDuties(duties, followers));
      quarantine.setPeers(getAlivePeers(followers).map(({ hostId, peerAddress }) => ({
        hostId, address: peerAddress,
      })));
      configuration.setIsWatcher(duties.isConfigurationWatcher());
    },
  };
}
