import type { CoreContext } from '../core/CoreContext.ts';
import type { HostId } from '../lib/ids.ts';
import { shuffle } from '../membership/shuffle.ts';
import type {
  GossipDigestMessage, GossipPushMessage, MemberRecord, PeerMessage,
} from '../peers/PeerMessage.ts';
import { DEFAULT_GOSSIP_OPTIONS, type GossipOptions } from './GossipOptions.ts';
import type { GossipPeers } from './GossipPeers.ts';
import {
  GOSSIP_TOPIC_RULES, type GossipRecord, type GossipTopic, type GossipTopicRule,
} from './GossipRecord.ts';
import type { GossipStore } from './GossipStore.ts';
import { GossipTable } from './GossipTable.ts';

const MS_PER_S = 1000;

/** Bytes of a record beside its key, origin and value, as CBOR. */
const RECORD_OVERHEAD_BYTES = 64;

/** A change that has still to be pushed on. */
interface PendingPush {
  readonly topic: GossipTopic;
  readonly key: string;
  readonly remainingPushCount: number;
}

function getSizeBytes(record: GossipRecord): number {
  return RECORD_OVERHEAD_BYTES
    + record.key.length + record.origin.length + (record.value?.length ?? 0);
}

/**
 * Distributes small versioned records: pushed on change to a few peers, mended by digests
 * (anti-entropy, Demers and others, 1987). What does not fit the byte budget waits, the most
 * important topic first; a newer record takes the place of one that waits.
 */
export class GossipManager implements GossipStore {
  readonly #context: CoreContext;

  readonly #peers: GossipPeers;

  readonly #options: GossipOptions;

  readonly #table: GossipTable;

  readonly #pendingPushes = new Map<string, PendingPush>();

  readonly #listeners = new Map<GossipTopic, Set<(record: GossipRecord) => void>>();

  #budgetBytes: number;

  #budgetAtMs: number;

  #nextPushAtMs = Infinity;

  #nextDigestAtMs: number;

  #isLinkDigestNext = false;

  /**
   * @param context - time, randomness and the way out
   * @param peers - whom records are exchanged with
   * @param options - see `DEFAULT_GOSSIP_OPTIONS`
   */
  constructor(context: CoreContext, peers: GossipPeers, options: Partial<GossipOptions> = {}) {
    this.#context = context;
    this.#peers = peers;
    this.#options = { ...DEFAULT_GOSSIP_OPTIONS, ...options };
    this.#table = new GossipTable(this.#options.maxRecords);
    this.#budgetBytes = this.#options.burstBytes;
    this.#budgetAtMs = context.getNowMs();
    this.#nextDigestAtMs = context.getNowMs()
      + context.random.getFraction() * this.#options.digestPeriodMs;
  }

  /** Records known. */
  get size(): number {
    return this.#table.size;
  }

  /** @inheritdoc */
  publish(topic: GossipTopic, key: string, value: string | null, lifetimeMs: number): GossipRecord {
    const nowMs = this.#context.getNowMs();
    const record: GossipRecord = {
      topic,
      key,
      version: this.#table.getVersion(topic, key) + 1,
      origin: this.#context.self.incarnationId,
      value,
      remainingMs: lifetimeMs,
    };
    this.#table.merge(record, nowMs);
    this.#queuePush(record);
    return record;
  }

  /** @inheritdoc */
  getValue(topic: GossipTopic, key: string): string | null {
    return this.#table.get(topic, key, this.#context.getNowMs())?.value ?? null;
  }

  /** @inheritdoc */
  subscribe(topic: GossipTopic, listener: (record: GossipRecord) => void): () => void {
    const listeners = this.#listeners.get(topic) ?? new Set();
    this.#listeners.set(topic, listeners.add(listener));
    return () => {
      listeners.delete(listener);
    };
  }

  /**
   * @param fromHostId - the peer
   * @param message - records or a digest
   */
  handleMessage(fromHostId: HostId, message: GossipPushMessage | GossipDigestMessage): void {
    if (message.kind === 'gossipPush') {
      message.records.forEach((record) => this.#receive(record));
      return;
    }
    const sender = this.#peers.getMembers().find(({ hostId }) => hostId === fromHostId);
    if (sender !== undefined && message.buckets.length === this.#options.bucketCount) {
      this.#answerDigest(sender, message);
    }
  }

  /** Sends what is due. */
  tick(): void {
    const nowMs = this.#context.getNowMs();
    if (nowMs >= this.#nextPushAtMs) {
      this.#push(nowMs);
    }
    if (nowMs >= this.#nextDigestAtMs) {
      this.#nextDigestAtMs = nowMs + this.#options.digestPeriodMs;
      this.#table.removeExpired(nowMs);
      this.#sendDigest();
    }
  }

  /**
   * @returns when the next tick is due
   */
  getNextWakeMs(): number {
    return Math.min(this.#nextPushAtMs, this.#nextDigestAtMs);
  }

  #receive(record: GossipRecord): void {
    if (this.#table.merge(record, this.#context.getNowMs())) {
      this.#queuePush(record);
      this.#listeners.get(record.topic)?.forEach((listener) => listener(record));
    }
  }

  #queuePush({ topic, key }: GossipRecord): void {
    const { retransmitFactor, pushPeriodMs } = this.#options;
    const remaining = Math.ceil(retransmitFactor * Math.log2(this.#getDomainPeers().length + 2));
    this.#pendingPushes.set(`${topic}\n${key}`, { topic, key, remainingPushCount: remaining });
    this.#nextPushAtMs = Math.min(this.#nextPushAtMs, this.#context.getNowMs() + pushPeriodMs);
  }

  #getDomainPeers(): MemberRecord[] {
    const { failureDomainId, hostId } = this.#context.self;
    return this.#peers.getMembers().filter((member) => member.hostId !== hostId
      && member.failureDomainId === failureDomainId
      && member.state !== 'dead');
  }

  #push(nowMs: number): void {
    const { fanout, pushPeriodMs } = this.#options;
    const targets = [
      ...shuffle(this.#getDomainPeers(), this.#context.random).slice(0, fanout),
      ...shuffle(this.#peers.getLinks(), this.#context.random).slice(0, 1),
    ];
    const records = this.#takePending(nowMs, targets.length);
    targets.forEach((target) => {
      const scopes = this.#getScopes(target);
      const wanted = records.filter(({ topic }) => (
        scopes.includes(GOSSIP_TOPIC_RULES[topic].scope)));
      if (wanted.length > 0) {
        this.#send(target, { kind: 'gossipPush', records: wanted });
      }
    });
    this.#nextPushAtMs = this.#pendingPushes.size === 0 ? Infinity : nowMs + pushPeriodMs;
  }

  /** Takes as many records as the budget allows for the given number of copies. */
  #takePending(nowMs: number, copyCount: number): GossipRecord[] {
    this.#refillBudget(nowMs);
    const ordered = [...this.#pendingPushes].sort(([, a], [, b]) => (
      GOSSIP_TOPIC_RULES[a.topic].priority - GOSSIP_TOPIC_RULES[b.topic].priority));
    const taken: GossipRecord[] = [];
    ordered.slice(0, this.#options.maxRecordsPerMessage).forEach(([id, pending]) => {
      const record = this.#table.get(pending.topic, pending.key, nowMs);
      const costBytes = record === undefined ? 0 : getSizeBytes(record) * copyCount;
      if (costBytes <= this.#budgetBytes) {
        this.#budgetBytes -= costBytes;
        this.#recordPush(id, pending);
        taken.push(...(record === undefined ? [] : [record]));
      }
    });
    return taken;
  }

  #recordPush(id: string, pending: PendingPush): void {
    if (pending.remainingPushCount > 1) {
      this.#pendingPushes.set(id, { ...pending, remainingPushCount: pending.remainingPushCount - 1 });
    } else {
      this.#pendingPushes.delete(id);
    }
  }

  #refillBudget(nowMs: number): void {
    const { budgetBytesPerS, burstBytes } = this.#options;
    const refillBytes = ((nowMs - this.#budgetAtMs) / MS_PER_S) * budgetBytesPerS;
    this.#budgetBytes = Math.min(burstBytes, this.#budgetBytes + refillBytes);
    this.#budgetAtMs = nowMs;
  }

  #sendDigest(): void {
    this.#isLinkDigestNext = !this.#isLinkDigestNext;
    const links = this.#isLinkDigestNext ? this.#peers.getLinks() : [];
    const peers = links.length > 0 ? links : this.#getDomainPeers();
    const [target] = shuffle(peers, this.#context.random);
    if (target !== undefined) {
      this.#send(target, this.#createDigest(target, true));
    }
  }

  #createDigest(target: MemberRecord, isAnswerWanted: boolean): GossipDigestMessage {
    const buckets = this.#table.getDigest(this.#options.bucketCount, this.#getScopes(target));
    return { kind: 'gossipDigest', buckets, isAnswerWanted };
  }

  #answerDigest(sender: MemberRecord, message: GossipDigestMessage): void {
    const { bucketCount, maxRecordsPerMessage } = this.#options;
    const nowMs = this.#context.getNowMs();
    const scopes = this.#getScopes(sender);
    const own = this.#table.getDigest(bucketCount, scopes);
    const different = new Set(
      own.flatMap((hash, bucket) => (hash === message.buckets[bucket] ? [] : [bucket])),
    );
    if (different.size === 0) {
      return;
    }
    const records = this.#table.getBucketRecords(different, bucketCount, scopes, nowMs);
    this.#refillBudget(nowMs);
    const affordable = this.#takeAffordable(records.slice(0, maxRecordsPerMessage));
    if (affordable.length > 0) {
      this.#send(sender, { kind: 'gossipPush', records: affordable });
    }
    if (message.isAnswerWanted) {
      this.#send(sender, this.#createDigest(sender, false));
    }
  }

  #takeAffordable(records: readonly GossipRecord[]): GossipRecord[] {
    return records.filter((record) => {
      const costBytes = getSizeBytes(record);
      const isAffordable = costBytes <= this.#budgetBytes;
      this.#budgetBytes -= isAffordable ? costBytes : 0;
      return isAffordable;
    });
  }

  #getScopes(peer: MemberRecord): GossipTopicRule['scope'][] {
    return peer.failureDomainId === this.#context.self.failureDomainId
      ? ['fleet', 'failureDomain']
      : ['fleet'];
  }

  #send(peer: MemberRecord, message: PeerMessage): void {
    this.#context.emit({
      kind: 'sendPeerMessage', toHostId: peer.hostId, address: peer.peerAddress, message,
    });
  }
}
