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

/** One membership under the manual clock. */
export interface TestMember {
  readonly hostId: HostId;
  readonly context: FakeCoreContext;
  readonly membership: Membership;
  readonly events: MembershipEvent[];
  /** A paused or dead member takes no message and does not tick. */
  isRunning: boolean;
}

/** What a test bed is made of. */
export interface TestBedOptions {
  readonly hostCount: number;
  readonly domainCount: number;
  readonly seed: number;
  /** Part of the messages that are lost. */
  readonly lossFraction?: number;
  readonly membership?: Partial<MembershipOptions>;
  /** Whether messages are encoded, to know their bytes. */
  readonly isEncoding?: boolean;
}

/** Several memberships that exchange messages in memory, each message within one step. */
export class MembershipTestBed {
  readonly clock = new ManualClock(1000);

  readonly members: TestMember[];

  /** Says whether a message passes; tests cut the network with it. */
  isLinked: ((from: TestMember, to: TestMember) => boolean) | null = null;

  messageCount = 0;

  /** Bytes of all messages with their authentication codes; 0 unless they are encoded. */
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

  /** Starts the counts of messages and bytes again. */
  resetCounts(): void {
    this.messageCount = 0;
    this.sentBytes = 0;
  }

  /** What the platform's host list shows. */
  get hostList(): HostListEntry[] {
    return this.members.map(({ context }) => ({ ...context.self, isLeaving: false }));
  }

  /**
   * @param index - the place of the host
   * @param start - a later start has a larger number
   * @returns a member that is not yet part of the bed
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
   * Lets time pass in small steps.
   *
   * @param durationMs - how long
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
    // Host ids end in the place of their host.
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
