import type { ClaimMember, ClaimOwners } from '../claims/ClaimOwners.ts';
import type { SelfIdentity } from '../core/CoreContext.ts';
import type { CostDuties } from '../cost/CostLedger.ts';
import type { DutyAssignment } from '../duties/DutyAssignment.ts';
import type { HostId, IncarnationId } from '../lib/ids.ts';
import { getHighestScored } from '../membership/getHighestScored.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import type { QuarantinePeer } from '../quarantine/Quarantine.ts';
import type { FleetListener } from './FleetListener.ts';

const COST_HOLDER_DUTY = 'costHolder';

/** Interface that informs the claim manager of owners and of incarnations that are gone. */
export interface ClaimObserver {
  setOwners(owners: ClaimOwners): void;
  recordIncarnationGone(incarnationId: IncarnationId): void;
}

/** Interface that informs the configuration follower of newer versions and of its duty. */
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

/** Interface that informs the cost ledger of its duties and of incarnations that are gone. */
export interface CostObserver {
  setDuties(duties: CostDuties): void;
  recordIncarnationGone(incarnationId: IncarnationId): void;
}

/** Interface that informs the quarantine of its peers. */
export interface QuarantineObserver {
  setPeers(peers: readonly QuarantinePeer[]): void;
}

/** Options of {@link createFleetListener}: this host and the managers that observe the fleet. */
export interface FleetListenerOptions {
  readonly self: SelfIdentity;
  readonly claims: ClaimObserver;
  readonly costs: CostObserver;
  readonly quarantine: QuarantineObserver;
  readonly configuration: ConfigurationVersionObserver;
  /**
   * @returns the current members
   */
  readonly getMembers: () => readonly MemberRecord[];
}

function getAlivePeers(
  { self, getMembers }: FleetListenerOptions,
): readonly MemberRecord[] {
  return getMembers()
    .filter(({ hostId, state }) => hostId !== self.hostId && state === 'alive');
}

function getCostDuties(duties: DutyAssignment, options: FleetListenerOptions): CostDuties {
  const { self } = options;
  const peers = getAlivePeers(options);
  const sameDomainPeers = peers
    .filter(({ failureDomainId }) => failureDomainId === self.failureDomainId);
  // A peer in another failure domain keeps the copy when this host's whole domain fails.
  const otherDomainPeers = peers
    .filter(({ failureDomainId }) => failureDomainId !== self.failureDomainId);
  const holderIds = (otherDomainPeers.length > 0 ? otherDomainPeers : sameDomainPeers)
    .map(({ hostId }) => hostId);
  const { members, ownerHostIds } = getClaimOwners(duties, options.getMembers());
  return {
    members,
    ownerHostIds,
    copyHolderHostId:
      getHighestScored(`${COST_HOLDER_DUTY} ${self.hostId}`, holderIds, 1)[0] ?? null,
  };
}

/**
 * Creates the listener that informs managers of the fleet's members and duties.
 *
 * @param options - this host and the managers
 * @returns the listener
 */
export function createFleetListener(options: FleetListenerOptions): FleetListener {
  const {
    claims, costs, quarantine, configuration, getMembers,
  } = options;
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
      costs.setDuties(getCostDuties(duties, options));
      quarantine.setPeers(getAlivePeers(options).map(({ hostId, peerAddress }) => ({
        hostId, address: peerAddress,
      })));
      configuration.setIsWatcher(duties.isConfigurationWatcher());
    },
  };
}
