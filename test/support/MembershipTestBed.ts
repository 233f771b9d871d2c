import { SeededRandomSource } from '../../src/lib/SeededRandomSource.ts';
import { toId, type HostId } from '../../src/lib/ids.ts';
import { Membership } from '../../src/membership/Membership.ts';
import type { MembershipEvent } from '../../src/membership/MembershipEvent.ts';
import type { MembershipOptions } from '../../src/membership/MembershipOptions.ts';
import { encodeFrame } from '../../src/peers/encodeFrame.ts';
import { PEER_PROTOCOL } from '../../src/peers/PEER_PROTOCOL.ts';
import type { PeerMessage } from '../../src/peers/PeerMessage.ts';
import type { HostListEntry } from '../../src/platform/HostListEntry.ts';
import { ManualClock } from '../../src/time/ManualClock.ts';
import { FakeCoreContext } from './FakeCoreContext.ts';

const STEP_MS = 50;

/** One host's membership under the manual clock. */
export interface TestMember {
  readonly hostId: HostId;
  readonly context: FakeCoreContext;
  readonly membership: Membership;
  readonly events: MembershipEvent[];
  /** False for a paused or dead member, which receives no messages and does not tick. */
  isRunning: boolean;
}

/** Options of a membership test bed. */
export interface TestBedOptions {
  readonly hostCount: number;
  readonly domainCount: number;
  readonly seed: number;
  /** Fraction of messages that are lost. */
  readonly lossFraction?: number;
  readonly membership?: Partial<MembershipOptions>;
  /** Whether messages are encoded to count their bytes. */
  readonly isEncoding?: boolean;
}

/** Memberships that exchange messages in memory, each delivered within one step. */
export class MembershipTestBed {
  readonly clock = new ManualClock(1000);

  readonly members: TestMember[];

  /** Tells whether a message passes; tests simulate network partitions with it. */
  isLinked: ((from: TestMember, to: TestMember) => boolean) | null = null;

  messageCount = 0;

  /** Bytes of all messages with their authentication codes; 0 unless messages are encoded. */
  sentBytes = 0;

  readonly #random: SeededRandomSource;

  readonly #lossFraction: number;

  readonly #options: TestBedOptions;

  /**
   * @param options - see `TestBedOptions`
   */
  constructor(options: TestBedOptions) {
    this.#options = options;
    this.#random = new SeededRandomSource(options.seed);
    this.#lossFraction = options.lossFraction ?? 0;
    this.members = Array.from({ length: options.hostCount }, (_, index) => this.create(index, 1));
    this.members.forEach(({ membership }) => membership.handleHostList(this.hostList));
  }

  /** Resets the counts of messages and bytes. */
  resetCounts(): void {
    this.messageCount = 0;
    this.sentBytes = 0;
  }

  /** The platform's host list. */
  get hostList(): HostListEntry[] {
    return this.members.map(({ context }) => ({ ...context.self, isLeaving: false }));
  }

  /**
   * @param index - index of the host
   * @param start - start time of the incarnation; a later incarnation has a larger one
   * @returns a member that is not yet part of the test bed
   */
  create(index: number, start: number): TestMember {
    const hostId = toId<HostId>(`host-${index}`);
    const context = new FakeCoreContext(hostId, this.clock, this.#options.seed + index);
    Object.assign(context.self, {
      incarnationId: `${hostId}-start-${start}`,
      failureDomainId: `domain-${index % this.#options.domainCount}`,
      peerAddress: `127.0.0.1:${index}`,
    });
    const membership = new Membership(context, { startedAtMs: start }, this.#options.membership);
    return {
      hostId, context, membership, events: [], isRunning: true,
    };
  }

  /**
   * Advances the clock in small steps and delivers the messages of each.
   *
   * @param durationMs - how far the clock advances
   */
  run(durationMs: number): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      const running = this.members.filter(({ isRunning }) => isRunning);
      running.forEach(({ membership }) => membership.tick());
      let isQuiet = false;
      while (!isQuiet) {
        isQuiet = running.map((member) => this.#deliver(member)).every((count) => count === 0);
      }
      running.forEach(({ membership, events }) => events.push(...membership.takeEvents()));
    }
  }

  #find(hostId: HostId): TestMember | undefined {
    // A host id ends in the index of its host.
    return this.members[Number(hostId.slice(hostId.lastIndexOf('-') + 1))];
  }

  #deliver(sender: TestMember): number {
    const outputs = sender.context.takeOutputs();
    outputs.forEach((output) => {
      const receiver = output.kind === 'sendPeerMessage'
        ? this.#find(output.toHostId)
        : undefined;
      if (output.kind === 'sendPeerMessage' && receiver !== undefined) {
        this.messageCount += 1;
        this.sentBytes += this.#options.isEncoding === true
          ? encodeFrame(output.message).length + PEER_PROTOCOL.macBytes
          : 0;
        this.#handOver(sender, receiver, output.message);
      }
    });
    return outputs.length;
  }

  #handOver(sender: TestMember, receiver: TestMember, message: PeerMessage): void {
    const isLost = this.#random.getFraction() < this.#lossFraction;
    const isHeartbeat = message.kind === 'heartbeat' || message.kind === 'heartbeatAnswer';
    const isLinked = this.isLinked?.(sender, receiver) ?? true;
    if (!isLost && isHeartbeat && receiver.isRunning && isLinked) {
      receiver.membership.handleHeartbeat(sender.context.self.incarnationId, message);
    }
  }
}
