import type { ConfigurationRecord } from '../configuration/records/ConfigurationRecord.ts';
import type { CoreContext } from '../core/CoreContext.ts';
import type { KeyValueAnsweredInput } from '../core/CoreInput.ts';
import { DutyAssignment } from '../duties/DutyAssignment.ts';
import type { DutyOptions } from '../duties/DutyOptions.ts';
import { GossipManager } from '../gossip/GossipManager.ts';
import type { GossipOptions } from '../gossip/GossipOptions.ts';
import { exhaustiveSwitchError } from '../lib/exhaustiveSwitchError.ts';
import type { HostId, IncarnationId } from '../lib/ids.ts';
import { Membership } from '../membership/Membership.ts';
import type { MembershipEvent } from '../membership/MembershipEvent.ts';
import type { MembershipOptions } from '../membership/MembershipOptions.ts';
import type { MembershipStart } from '../membership/MembershipStart.ts';
import type { MemberRecord, PeerMessage } from '../peers/PeerMessage.ts';
import type { HostListEntry } from '../platform/HostListEntry.ts';
import type { FleetListener } from './FleetListener.ts';

/** Options of the fleet's managers; all but `start` have defaults. */
export interface FleetManagerOptions {
  readonly start: MembershipStart;
  readonly membership?: Partial<MembershipOptions>;
  readonly duties?: Partial<DutyOptions>;
  readonly gossip?: Partial<GossipOptions>;
}

/** Connects this host to the fleet: runs its membership, duty assignment and gossip. */
export class FleetManager {
  readonly membership: Membership;

  readonly duties: DutyAssignment;

  readonly gossip: GossipManager;

  #listener: FleetListener | null = null;

  #haveDutiesChanged = true;

  #isReplaced = false;

  /**
   * @param context - identity, time, randomness and outputs
   * @param options - the start of the process, and overrides of defaults
   */
  constructor(context: CoreContext, options: FleetManagerOptions) {
    this.membership = new Membership(context, options.start, options.membership);
    this.duties = new DutyAssignment(context, this.membership, options.duties);
    this.gossip = new GossipManager(context, this.membership, options.gossip);
  }

  /** Whether a later incarnation uses this host's id, so that this process must stop. */
  get isReplaced(): boolean {
    return this.#isReplaced;
  }

  /**
   * @param listener - called for changes of members and duties, from the next tick on
   */
  setListener(listener: FleetListener): void {
    this.#listener = listener;
    this.#haveDutiesChanged = true;
  }

  /**
   * @returns all known members, including this host
   */
  getMembers(): MemberRecord[] {
    return this.membership.getMembers();
  }

  /**
   * Handles the messages of membership and gossip; other messages are ignored.
   *
   * @param fromHostId - the sender
   * @param fromIncarnationId - the sender's incarnation
   * @param message - any message of a peer
   */
  handlePeerMessage(
    fromHostId: HostId,
    fromIncarnationId: IncarnationId,
    message: PeerMessage,
  ): void {
    if (message.kind === 'heartbeat' || message.kind === 'heartbeatAnswer') {
      this.membership.handleHeartbeat(fromIncarnationId, message);
    } else if (message.kind === 'gossipPush' || message.kind === 'gossipDigest') {
      this.gossip.handleMessage(fromHostId, message);
    }
  }

  /**
   * @param input - an answer of the platform; answers to calls of other managers are ignored
   */
  handleKeyValueAnswer(input: KeyValueAnsweredInput): void {
    this.duties.handleKeyValueAnswer(input);
  }

  /**
   * @param hostId - a member to which no connection could be established or kept
   */
  handleUnreachable(hostId: HostId): void {
    this.membership.handleUnreachable(hostId);
  }

  /**
   * @param hosts - the platform's host list, which may be out of date
   */
  handleHostList(hosts: readonly HostListEntry[]): void {
    this.membership.handleHostList(hosts);
    this.duties.recordHostListRead();
  }

  /**
   * @param configuration - the current configuration
   */
  setConfiguration(configuration: ConfigurationRecord): void {
    this.duties.setUpstreams(configuration.upstreams);
    this.membership.setConfigurationVersion(configuration.version);
  }

  /** Announces to the peers that this host takes no new work and hands its duties over. */
  announceLeaving(): void {
    this.membership.announceLeaving();
    this.#haveDutiesChanged = true;
  }

  /** Runs due work and notifies the listener of changes. */
  tick(): void {
    this.membership.tick();
    this.membership.takeEvents().forEach((event) => this.#handleEvent(event));
    if (this.#haveDutiesChanged) {
      this.#haveDutiesChanged = false;
      this.duties.updateMembers();
      this.#listener?.onDutiesChanged(this.duties);
    }
    this.duties.tick();
    this.gossip.tick();
  }

  /**
   * @returns time at which the next tick is due
   */
  getNextWakeMs(): number {
    return Math.min(
      this.membership.getNextWakeMs(),
      this.duties.getNextWakeMs(),
      this.gossip.getNextWakeMs(),
    );
  }

  #handleEvent(event: MembershipEvent): void {
    switch (event.kind) {
      case 'memberChanged':
        this.#haveDutiesChanged = true;
        this.#listener?.onMemberChanged(event.member);
        return;
      case 'newerConfigurationSeen':
        this.#listener?.onNewerConfiguration(event.member);
        return;
      case 'viewRefreshed':
        this.#haveDutiesChanged = true;
        return;
      case 'selfReplaced':
        this.#isReplaced = true;
        return;
      default:
        throw exhaustiveSwitchError(event);
    }
  }
}
