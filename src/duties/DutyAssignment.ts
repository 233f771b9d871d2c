import type {
  GrantCoordinatorDirectory, GrantCoordinatorDuty, GrantCoordinatorHost,
} from '../grants/GrantCoordinatorDirectory.ts';
import {
  toId, type FailureDomainId, type HostId, type UpstreamId,
} from '../lib/ids.ts';
import type { CoreContext } from '../core/CoreContext.ts';
import type { KeyValueAnsweredInput } from '../core/CoreInput.ts';
import { LeaseHolder } from '../leases/LeaseHolder.ts';
import { getHighestScored } from '../membership/getHighestScored.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import { DUTY_KIND, type DutyKind } from './DUTY_KIND.ts';
import { DEFAULT_DUTY_OPTIONS, type DutyOptions } from './DutyOptions.ts';

/** Part of the membership that the assignment reads. */
export interface DutyMembership {
  getMembers(): MemberRecord[];
  isViewFresh(): boolean;
}

/** Upper bound of the host count while the size of the fleet is not known. */
const UNKNOWN_HOST_COUNT_BOUND = 1024;

/** Prefix of the key of the lease for granting the slots of a failure domain's upstreams. */
const GRANT_COORDINATOR_LEASE_PREFIX = 'leases/steward/';

/**
 * Assigns duties to hosts by rendezvous hashing over the members, so that all hosts with the same
 * view agree without messages and a change of one member moves only that member's duties. The
 * duties of a leaving host move at once; those of a dead host move when its suspicion ends.
 *
 * Hosts with different views may assign a duty to different hosts. This is harmless for all duties
 * but that of the grant coordinator, which acts only while it holds its failure domain's lease.
 */
export class DutyAssignment implements GrantCoordinatorDirectory {
  readonly #context: CoreContext;

  readonly #membership: DutyMembership;

  readonly #options: DutyOptions;

  readonly #domainIdByUpstream = new Map<UpstreamId, FailureDomainId>();

  /** Assigned host by duty, for the duties that were looked up. */
  readonly #hostIdByDuty = new Map<string, HostId>();

  readonly #grantCoordinatorLease: LeaseHolder;

  #activeMembers: MemberRecord[] = [];

  #memberById = new Map<HostId, MemberRecord>();

  #epoch = 0;

  #movedCount = 0;

  #isHostListRead = false;

  /**
   * @param context - provides identity and time, and sends platform calls
   * @param membership - provides the members
   * @param options - override `DEFAULT_DUTY_OPTIONS`
   */
  constructor(
    context: CoreContext,
    membership: DutyMembership,
    options: Partial<DutyOptions> = {},
  ) {
    this.#context = context;
    this.#membership = membership;
    this.#options = { ...DEFAULT_DUTY_OPTIONS, ...options };
    const { failureDomainId } = context.self;
    this.#grantCoordinatorLease = new LeaseHolder(
      context,
      `${GRANT_COORDINATOR_LEASE_PREFIX}${failureDomainId}`,
    );
    this.updateMembers();
  }

  /** Number that grows with each change of the members. */
  get epoch(): number {
    return this.#epoch;
  }

  /** Number of times that a duty moved from one host to another in this host's view. */
  get movedCount(): number {
    return this.#movedCount;
  }

  /** Records that the membership includes all hosts of the platform's host list. */
  recordHostListRead(): void {
    this.#isHostListRead = true;
  }

  /** Reads the members again and reassigns the duties; called when a member changes. */
  updateMembers(): void {
    const members = this.#membership.getMembers();
    this.#epoch += 1;
    this.#activeMembers = members.filter(({ state }) => state === 'alive' || state === 'suspect');
    this.#memberById = new Map(this.#activeMembers.map((member) => [member.hostId, member]));
    this.#hostIdByDuty.forEach((previousHostId, duty) => {
      const hostId = this.#selectHost(duty);
      if (hostId !== previousHostId) {
        this.#movedCount += 1;
        this.#setAssignedHost(duty, hostId);
      }
    });
    const { hostId, failureDomainId } = this.#context.self;
    this.#grantCoordinatorLease.setIsWanted(
      this.#getGrantCoordinatorId(failureDomainId) === hostId,
    );
  }

  /** Sends the platform call for the lease if one is due. */
  tick(): void {
    this.#grantCoordinatorLease.tick();
  }

  /**
   * @returns when {@link tick} is needed next, in monotonic milliseconds
   */
  getNextWakeMs(): number {
    return this.#grantCoordinatorLease.getNextWakeMs();
  }

  /**
   * Handles an answer of the platform.
   *
   * @param input - the answer to a platform call
   * @returns whether the assignment made the call
   */
  handleKeyValueAnswer(input: KeyValueAnsweredInput): boolean {
    return this.#grantCoordinatorLease.handleKeyValueAnswer(input);
  }

  /**
   * Sets the upstreams and their failure domains.
   *
   * @param upstreams - all upstreams of the configuration
   */
  setUpstreams(
    upstreams: readonly { readonly id: string; readonly failureDomainId: string }[],
  ): void {
    this.#domainIdByUpstream.clear();
    upstreams.forEach(({ id, failureDomainId }) => {
      this.#domainIdByUpstream.set(id as UpstreamId, failureDomainId as FailureDomainId);
    });
  }

  /** @inheritdoc */
  getGrantCoordinator(upstreamId: UpstreamId): GrantCoordinatorHost | null {
    const domainId = this.#domainIdByUpstream.get(upstreamId);
    const hostId = domainId === undefined ? undefined : this.#getGrantCoordinatorId(domainId);
    const member = hostId === undefined ? undefined : this.#memberById.get(hostId);
    return member === undefined ? null : { hostId: member.hostId, address: member.peerAddress };
  }

  /** @inheritdoc */
  getOwnDuty(upstreamId: UpstreamId): GrantCoordinatorDuty | null {
    const { failureDomainId } = this.#context.self;
    const isOwnDomain = this.#domainIdByUpstream.get(upstreamId) === failureDomainId;
    return isOwnDomain && this.#membership.isViewFresh()
      ? this.#grantCoordinatorLease.getHeld()
      : null;
  }

  /** @inheritdoc */
  getAddress(hostId: HostId): string {
    return this.#memberById.get(hostId)?.peerAddress ?? '';
  }

  /** @inheritdoc */
  getHostCountBound(): number {
    return this.#isHostListRead
      ? Math.max(1, this.#membership.getMembers().length)
      : UNKNOWN_HOST_COUNT_BOUND;
  }

  /**
   * @returns the host that combines the writes to each claim shard; null makes each host write its
   *   own claims
   */
  getClaimOwners(): (HostId | null)[] {
    return Array.from({ length: this.#options.claimShardCount }, (_, shard) => (
      this.#getAssignedHost(DUTY_KIND.claimShard, String(shard)) ?? null));
  }

  /**
   * @returns whether this host watches the configuration for its failure domain
   */
  isConfigurationWatcher(): boolean {
    const { failureDomainId, hostId } = this.#context.self;
    const candidates = this.#getCandidates(failureDomainId);
    return getHighestScored(
      `${DUTY_KIND.configurationWatch} ${failureDomainId}`,
      candidates,
      this.#options.watchersPerDomain,
    ).includes(hostId);
  }

  #getGrantCoordinatorId(domainId: FailureDomainId): HostId | undefined {
    return this.#getAssignedHost(DUTY_KIND.grantCoordinator, domainId);
  }

  #getAssignedHost(kind: DutyKind, name: string): HostId | undefined {
    const duty = `${kind} ${name}`;
    if (!this.#hostIdByDuty.has(duty)) {
      this.#setAssignedHost(duty, this.#selectHost(duty));
    }
    return this.#hostIdByDuty.get(duty);
  }

  #setAssignedHost(duty: string, hostId: HostId | undefined): void {
    if (hostId === undefined) {
      this.#hostIdByDuty.delete(duty);
    } else {
      this.#hostIdByDuty.set(duty, hostId);
    }
  }

  #selectHost(duty: string): HostId | undefined {
    const separatorIndex = duty.indexOf(' ');
    const isGrantCoordinator = duty.slice(0, separatorIndex) === DUTY_KIND.grantCoordinator;
    const domainId = isGrantCoordinator
      ? toId<FailureDomainId>(duty.slice(separatorIndex + 1))
      : undefined;
    return getHighestScored(duty, this.#getCandidates(domainId), 1)[0];
  }

  #getCandidates(domainId: FailureDomainId | undefined): HostId[] {
    return this.#activeMembers
      .filter(({ failureDomainId }) => domainId === undefined || failureDomainId === domainId)
      .map(({ hostId }) => hostId);
  }
}
