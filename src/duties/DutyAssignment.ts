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

/** What the assignment reads of the membership. */
export interface DutyMembership {
  getMembers(): MemberRecord[];
  isViewFresh(): boolean;
}

/** Bound while the size of the fleet is not known. */
const UNKNOWN_HOST_COUNT_BOUND = 1024;

/** Key of the lease under which one host of a failure domain is steward of its upstreams. */
const GRANT_COORDINATOR_LEASE_PREFIX = 'leases/steward/';

/**
 * Places duties on hosts by rendezvous hashing over the members, so that all hosts with the same
 * view agree without a message and a change of one member moves its own duties only. A leaving
 * host hands over at once; the duties of a dead one move when its suspicion ends.
 *
 * Two hosts with different views may both be placed on a duty. That is harmless for all duties but
 * the steward's, who may act only while it holds the lease of its failure domain.
 */
export class DutyAssignment implements GrantCoordinatorDirectory {
  readonly #context: CoreContext;

  readonly #membership: DutyMembership;

  readonly #options: DutyOptions;

  readonly #domainIdByUpstream = new Map<UpstreamId, FailureDomainId>();

  /** Who has which duty, by the duty's key. */
  readonly #hostIdByDuty = new Map<string, HostId>();

  readonly #grantCoordinatorLease: LeaseHolder;

  #activeMembers: MemberRecord[] = [];

  #memberById = new Map<HostId, MemberRecord>();

  #epoch = 0;

  #movedCount = 0;

  #isHostListRead = false;

  /**
   * @param context - identity and time
   * @param membership - the members
   * @param options - see `DEFAULT_DUTY_OPTIONS`
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
    this.#grantCoordinatorLease = new LeaseHolder(context, `${GRANT_COORDINATOR_LEASE_PREFIX}${failureDomainId}`);
    this.updateMembers();
  }

  /** Grows with each change of the members. */
  get epoch(): number {
    return this.#epoch;
  }

  /** Duties that were seen to move from one host to another so far. */
  get movedCount(): number {
    return this.#movedCount;
  }

  /** Notes that the members of the platform's host list are among the known ones. */
  recordHostListRead(): void {
    this.#isHostListRead = true;
  }

  /** Reads the members again; call it when one of them changed. */
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
    this.#grantCoordinatorLease.setIsWanted(this.#getGrantCoordinatorId(failureDomainId) === hostId);
  }

  /** Sends the call to the platform that is due. */
  tick(): void {
    this.#grantCoordinatorLease.tick();
  }

  /**
   * @returns when the next tick is due
   */
  getNextWakeMs(): number {
    return this.#grantCoordinatorLease.getNextWakeMs();
  }

  /**
   * @param input - an answer of the platform
   * @returns whether the call was one of the duties' own
   */
  handleKeyValueAnswer(input: KeyValueAnsweredInput): boolean {
    return this.#grantCoordinatorLease.handleKeyValueAnswer(input);
  }

  /**
   * @param upstreams - the upstreams of the configuration
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
    return isOwnDomain && this.#membership.isViewFresh() ? this.#grantCoordinatorLease.getHeld() : null;
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
   * @returns the host that gathers the writes of each claim shard; null lets each write for itself
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
    const domainId = isGrantCoordinator ? toId<FailureDomainId>(duty.slice(separatorIndex + 1)) : undefined;
    return getHighestScored(duty, this.#getCandidates(domainId), 1)[0];
  }

  #getCandidates(domainId: FailureDomainId | undefined): HostId[] {
    return this.#activeMembers
      .filter(({ failureDomainId }) => domainId === undefined || failureDomainId === domainId)
      .map(({ hostId }) => hostId);
  }
}
