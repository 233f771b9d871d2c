import type { StewardDirectory, StewardDuty, Steward } from '../grants/StewardDirectory.ts';
import type { FailureDomainId, HostId, UpstreamId } from '../lib/ids.ts';
import type { CoreContext } from '../core/CoreContext.ts';
import { getHighestScored } from '../membership/getHighestScored.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import { DUTY_KIND, type DutyKind } from './DUTY_KIND.ts';
import { DEFAULT_DUTY_OPTIONS, type DutyOptions } from './DutyOptions.ts';

/** What the assignment reads of the membership. */
export interface DutyMembership {
  getMembers(): MemberRecord[];
  getHeardAtMs(hostId: HostId): number | null;
  hasLeft(hostId: HostId): boolean;
  isViewFresh(): boolean;
}

/** Bound while the size of the fleet is not known. */
const UNKNOWN_HOST_COUNT_BOUND = 1024;

interface DutyHolding {
  readonly hostId: HostId;
  readonly epoch: number;
  readonly sinceMs: number;
}

/**
 * Places duties on hosts by rendezvous hashing over the members, so that all hosts with the same
 * view agree without a message and a change of one member moves its own duties only. A leaving
 * host hands over at once; the duties of a dead one move when its suspicion ends.
 */
export class DutyAssignment implements StewardDirectory {
  readonly #context: CoreContext;

  readonly #membership: DutyMembership;

  readonly #options: DutyOptions;

  readonly #upstreamDomains = new Map<UpstreamId, FailureDomainId>();

  readonly #holdings = new Map<string, DutyHolding>();

  #present: MemberRecord[] = [];

  #memberById = new Map<HostId, MemberRecord>();

  /** Hosts of the own domain that were present or died lately; the quorum counts them. */
  #domainHostIds: HostId[] = [];

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
    this.noteMembersChanged();
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
  noteHostListRead(): void {
    this.#isHostListRead = true;
  }

  /** Reads the members again; call it when one of them changed. */
  noteMembersChanged(): void {
    const members = this.#membership.getMembers();
    const ownDomainId = this.#context.self.failureDomainId;
    this.#epoch += 1;
    this.#present = members.filter(({ state }) => state === 'alive' || state === 'suspect');
    this.#memberById = new Map(this.#present.map((member) => [member.hostId, member]));
    this.#domainHostIds = members
      .filter(({ failureDomainId, hostId }) => (
        failureDomainId === ownDomainId && !this.#membership.hasLeft(hostId)))
      .map(({ hostId }) => hostId);
    this.#holdings.forEach((holding, duty) => {
      const hostId = this.#choose(duty);
      if (hostId !== holding.hostId) {
        this.#movedCount += 1;
        this.#setHolding(duty, hostId);
      }
    });
  }

  /**
   * @param upstreams - the upstreams of the configuration
   */
  setUpstreams(
    upstreams: readonly { readonly id: string; readonly failureDomainId: string }[],
  ): void {
    this.#upstreamDomains.clear();
    upstreams.forEach(({ id, failureDomainId }) => {
      this.#upstreamDomains.set(id as UpstreamId, failureDomainId as FailureDomainId);
    });
    this.#holdings.forEach((_, duty) => {
      if (duty.startsWith(DUTY_KIND.steward) && !this.#isKnownSteward(duty)) {
        this.#holdings.delete(duty);
      }
    });
  }

  /** @inheritdoc */
  getSteward(upstreamId: UpstreamId): Steward | null {
    const hostId = this.#getHolding(DUTY_KIND.steward, upstreamId)?.hostId;
    const member = hostId === undefined ? undefined : this.#memberById.get(hostId);
    return member === undefined ? null : { hostId: member.hostId, address: member.peerAddress };
  }

  /** @inheritdoc */
  getOwnDuty(upstreamId: UpstreamId): StewardDuty | null {
    const holding = this.#getHolding(DUTY_KIND.steward, upstreamId);
    const untilMs = this.#getLeaseEndMs();
    const isOwn = holding?.hostId === this.#context.self.hostId;
    if (holding === undefined || !isOwn || untilMs <= this.#context.getNowMs()) {
      return null;
    }
    // The former steward may act until its lease ends, so that the duty begins a lease later.
    return { epoch: holding.epoch, sinceMs: holding.sinceMs + this.#getLeaseMs(), untilMs };
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
      this.#getHolding(DUTY_KIND.claimShard, String(shard))?.hostId ?? null));
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

  #getHolding(kind: DutyKind, name: string): DutyHolding | undefined {
    const duty = `${kind} ${name}`;
    if (!this.#holdings.has(duty)) {
      this.#setHolding(duty, this.#choose(duty));
    }
    return this.#holdings.get(duty);
  }

  #setHolding(duty: string, hostId: HostId | undefined): void {
    if (hostId === undefined) {
      this.#holdings.delete(duty);
    } else {
      this.#holdings.set(duty, {
        hostId, epoch: this.#epoch, sinceMs: this.#context.getNowMs(),
      });
    }
  }

  #choose(duty: string): HostId | undefined {
    const [kind, name] = this.#splitDuty(duty);
    const domainId = kind === DUTY_KIND.steward
      ? this.#upstreamDomains.get(name as UpstreamId)
      : undefined;
    if (kind === DUTY_KIND.steward && domainId === undefined) {
      return undefined;
    }
    return getHighestScored(duty, this.#getCandidates(domainId), 1)[0];
  }

  #getCandidates(domainId: FailureDomainId | undefined): HostId[] {
    return this.#present
      .filter(({ failureDomainId }) => domainId === undefined || failureDomainId === domainId)
      .map(({ hostId }) => hostId);
  }

  #splitDuty(duty: string): [string, string] {
    const space = duty.indexOf(' ');
    return [duty.slice(0, space), duty.slice(space + 1)];
  }

  #isKnownSteward(duty: string): boolean {
    return this.#upstreamDomains.has(this.#splitDuty(duty)[1] as UpstreamId);
  }

  /**
   * A host whose side of a partition holds no majority of the domain's hosts loses its duties, so
   * that two sides do not both hold one.
   */
  #getLeaseEndMs(): number {
    if (!this.#membership.isViewFresh()) {
      return -Infinity;
    }
    const nowMs = this.#context.getNowMs();
    const ownId = this.#context.self.hostId;
    const heard = this.#domainHostIds
      .map((hostId) => (hostId === ownId ? nowMs : this.#membership.getHeardAtMs(hostId)))
      .map((heardAtMs) => heardAtMs ?? -Infinity)
      .sort((a, b) => b - a);
    const quorum = Math.floor(heard.length / 2) + 1;
    return (heard[quorum - 1] ?? -Infinity) + this.#getLeaseMs();
  }

  #getLeaseMs(): number {
    const { leaseMs, leasePerHostMs } = this.#options;
    return Math.max(leaseMs, leasePerHostMs * this.#domainHostIds.length);
  }
}
