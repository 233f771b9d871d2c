import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import { toId } from '../lib/ids.ts';
import { encodeFrame } from '../peers/encodeFrame.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { GossipManager } from './GossipManager.ts';
import type { GossipOptions } from './GossipOptions.ts';
import { GOSSIP_TOPIC } from './GossipRecord.ts';

const STEP_MS = 100;
const LIFETIME_MS = 60_000;
const VALUE = 'x'.repeat(100);

/** Several exchanges in two failure domains; host 0 and host 1 hold the link between them. */
class Fleet {
  readonly clock = new ManualClock();

  readonly managers: GossipManager[];

  readonly contexts: FakeCoreContext[];

  isPartitioned = false;

  sentBytes = 0;

  constructor(hostCount: number, options: Partial<GossipOptions> = {}) {
    const members: MemberRecord[] = Array.from({ length: hostCount }, (_, index) => ({
      hostId: toId(`host-${index}`),
      incarnationId: toId(`start-${index}`),
      failureDomainId: toId(`domain-${index % 2}`),
      peerAddress: String(index),
      state: 'alive',
      generation: 1,
      configurationVersion: 0,
    }));
    this.contexts = members.map((member, index) => {
      const context = new FakeCoreContext(member.hostId, this.clock, index + 1);
      Object.assign(context.self, member);
      return context;
    });
    this.managers = this.contexts.map((context, index) => new GossipManager(context, {
      getMembers: () => members,
      getLinks: () => (index < 2 ? members.slice(1 - index, 2 - index) : []),
    }, options));
  }

  run(durationMs: number): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      this.clock.advance(STEP_MS);
      this.managers.forEach((exchange) => exchange.tick());
      this.contexts.forEach((context, index) => this.#deliver(context, index));
    }
  }

  countHostsKnowing(topic: 'quarantine' | 'load', key: string): number {
    return this.managers.filter((exchange) => exchange.getValue(topic, key) !== null).length;
  }

  #deliver(context: FakeCoreContext, from: number): void {
    context.takeOutputs().forEach((output) => {
      if (output.kind !== 'sendPeerMessage') {
        return;
      }
      const { message } = output;
      const to = Number(output.address);
      const isLost = this.isPartitioned && from % 2 !== to % 2;
      this.sentBytes += encodeFrame(message).length;
      if (!isLost && (message.kind === 'gossipPush' || message.kind === 'gossipDigest')) {
        this.managers[to]?.handleMessage(context.self.hostId, message);
      }
    });
  }
}

describe('DigestExchange', () => {
  it('brings a record to every host of the fleet', () => {
    const fleet = new Fleet(16);
    fleet.managers[4]?.publish(GOSSIP_TOPIC.quarantine, 'fingerprint', 'until', LIFETIME_MS);
    fleet.run(15_000);
    equal(fleet.countHostsKnowing('quarantine', 'fingerprint'), 16);
  });

  it('keeps load within the failure domain', () => {
    const fleet = new Fleet(16);
    fleet.managers[4]?.publish(GOSSIP_TOPIC.load, 'upstream-1', '7', LIFETIME_MS);
    fleet.run(15_000);
    equal(fleet.countHostsKnowing('load', 'upstream-1'), 8);
  });

  it('mends by digests what a partition kept apart', () => {
    const fleet = new Fleet(8);
    fleet.isPartitioned = true;
    fleet.managers[2]?.publish(GOSSIP_TOPIC.quarantine, 'fingerprint', 'until', LIFETIME_MS);
    fleet.run(10_000);
    equal(fleet.countHostsKnowing('quarantine', 'fingerprint'), 4);
    fleet.isPartitioned = false;
    fleet.run(20_000);
    equal(fleet.countHostsKnowing('quarantine', 'fingerprint'), 8);
  });

  it('settles on one record when two hosts publish at once', () => {
    const fleet = new Fleet(8);
    fleet.managers[2]?.publish(GOSSIP_TOPIC.quarantine, 'key', 'two', LIFETIME_MS);
    fleet.managers[5]?.publish(GOSSIP_TOPIC.quarantine, 'key', 'five', LIFETIME_MS);
    fleet.run(20_000);
    const values = fleet.managers.map((exchange) => exchange.getValue('quarantine', 'key'));
    equal(new Set(values).size, 1);
  });

  it('lets a record end with its lifetime on every host', () => {
    const fleet = new Fleet(8);
    fleet.managers[2]?.publish(GOSSIP_TOPIC.quarantine, 'key', 'two', 5000);
    fleet.run(6000);
    equal(fleet.countHostsKnowing('quarantine', 'key'), 0);
  });

  it('holds the byte budget under a flood, and quarantine goes first', () => {
    const budgetBytesPerS = 2000;
    const fleet = new Fleet(2, { budgetBytesPerS, burstBytes: 4000 });
    const [first] = fleet.managers;
    for (let index = 0; index < 2000; index += 1) {
      first?.publish(GOSSIP_TOPIC.suspect, `fingerprint-${index}`, VALUE, LIFETIME_MS);
    }
    first?.publish(GOSSIP_TOPIC.quarantine, 'fingerprint', 'until', LIFETIME_MS);
    fleet.run(1000);
    equal(fleet.countHostsKnowing('quarantine', 'fingerprint'), 2);
    fleet.run(9000);
    // Two hosts, ten seconds and a burst each; digests of 64 hashes come on top.
    ok(fleet.sentBytes < 2 * (10 * budgetBytesPerS + 4000) + 8 * 400, String(fleet.sentBytes));
  });

  it('keeps a bounded number of records, the important topics first', () => {
    const fleet = new Fleet(2, { maxRecords: 10 });
    const [first] = fleet.managers;
    first?.publish(GOSSIP_TOPIC.quarantine, 'fingerprint', 'until', LIFETIME_MS);
    for (let index = 0; index < 50; index += 1) {
      first?.publish(GOSSIP_TOPIC.load, `upstream-${index}`, '1', LIFETIME_MS);
    }
    equal(first?.size, 10);
    equal(first?.getValue('quarantine', 'fingerprint'), 'until');
  });
});
