import { getRendezvousScore } from '../membership/getRendezvousScore.ts';
import {
  GOSSIP_TOPIC_RULES, type GossipRecord, type GossipTopic, type GossipTopicRule,
} from './GossipRecord.ts';

const UINT32_RANGE = 0x1_0000_0000;

/** Versions outlive their records, so that a key published again is newer than late copies. */
const VERSION_RETENTION_MS = 60_000;

/** One of so many records goes when room is short. */
const EVICTION_DIVISOR = 16;

/** A record with the own clock's end of its life. */
interface GossipEntry {
  readonly record: GossipRecord;
  readonly expiresAtMs: number;
}

function getId(topic: GossipTopic, key: string): string {
  return `${topic}\n${key}`;
}

function getBucket(id: string, bucketCount: number): number {
  return Math.floor(getRendezvousScore(id, 'bucket') * bucketCount);
}

function isNewer(received: GossipRecord, known: GossipRecord): boolean {
  return received.version > known.version
    || (received.version === known.version && received.origin > known.origin);
}

/** The records that this host knows, of a bounded number. */
export class GossipTable {
  readonly #maxRecords: number;

  readonly #entries = new Map<string, GossipEntry>();

  #evictedCount = 0;

  /**
   * @param maxRecords - the most that is kept
   */
  constructor(maxRecords: number) {
    this.#maxRecords = maxRecords;
  }

  /** Records known. */
  get size(): number {
    return this.#entries.size;
  }

  /** Records given up for lack of room. */
  get evictedCount(): number {
    return this.#evictedCount;
  }

  /**
   * @param topic - what the record is about
   * @param key - names the thing within the topic
   * @param nowMs - the time of the step
   * @returns the record with the life it has left; undefined when unknown or expired
   */
  get(topic: GossipTopic, key: string, nowMs: number): GossipRecord | undefined {
    const entry = this.#entries.get(getId(topic, key));
    return entry === undefined || entry.expiresAtMs <= nowMs
      ? undefined
      : { ...entry.record, remainingMs: entry.expiresAtMs - nowMs };
  }

  /**
   * @param topic - what the record is about
   * @param key - names the thing within the topic
   * @returns the highest version known, expired or not; 0 for none
   */
  getVersion(topic: GossipTopic, key: string): number {
    return this.#entries.get(getId(topic, key))?.record.version ?? 0;
  }

  /**
   * @param record - a record of this host or of a peer
   * @param nowMs - the time of the step
   * @returns whether it is newer than what was known
   */
  merge(record: GossipRecord, nowMs: number): boolean {
    const id = getId(record.topic, record.key);
    const known = this.#entries.get(id);
    if (known !== undefined && !isNewer(record, known.record)) {
      return false;
    }
    this.#entries.set(id, { record, expiresAtMs: nowMs + record.remainingMs });
    this.#evictIfFull();
    return true;
  }

  /**
   * @param nowMs - the time of the step
   */
  removeExpired(nowMs: number): void {
    this.#entries.forEach(({ expiresAtMs }, id) => {
      if (expiresAtMs + VERSION_RETENTION_MS <= nowMs) {
        this.#entries.delete(id);
      }
    });
  }

  /**
   * Hashes the records by bucket; equal tables give equal hashes in whatever order they grew.
   *
   * @param bucketCount - how many buckets
   * @param scopes - which records count
   * @returns one unsigned 32-bit hash for each bucket
   */
  getDigest(bucketCount: number, scopes: readonly GossipTopicRule['scope'][]): number[] {
    const buckets = new Array<number>(bucketCount).fill(0);
    this.#entries.forEach(({ record }, id) => {
      if (scopes.includes(GOSSIP_TOPIC_RULES[record.topic].scope)) {
        const bucket = getBucket(id, bucketCount);
        const score = getRendezvousScore(id, `${record.version}\n${record.origin}`);
        // eslint-disable-next-line no-bitwise -- exclusive or does not depend on the order
        buckets[bucket] = ((buckets[bucket] ?? 0) ^ (score * UINT32_RANGE)) >>> 0;
      }
    });
    return buckets;
  }

  /**
   * @param buckets - numbers of buckets
   * @param bucketCount - how many buckets there are
   * @param scopes - which records count
   * @param nowMs - the time of the step
   * @returns the records in these buckets, the most important topics first
   */
  getBucketRecords(
    buckets: ReadonlySet<number>,
    bucketCount: number,
    scopes: readonly GossipTopicRule['scope'][],
    nowMs: number,
  ): GossipRecord[] {
    return [...this.#entries]
      .filter(([id, { record, expiresAtMs }]) => expiresAtMs > nowMs
        && scopes.includes(GOSSIP_TOPIC_RULES[record.topic].scope)
        && buckets.has(getBucket(id, bucketCount)))
      .map(([, { record, expiresAtMs }]) => ({ ...record, remainingMs: expiresAtMs - nowMs }))
      .sort((a, b) => GOSSIP_TOPIC_RULES[a.topic].priority - GOSSIP_TOPIC_RULES[b.topic].priority);
  }

  #evictIfFull(): void {
    if (this.#entries.size <= this.#maxRecords) {
      return;
    }
    const ordered = [...this.#entries].sort(([, a], [, b]) => (
      GOSSIP_TOPIC_RULES[b.record.topic].priority - GOSSIP_TOPIC_RULES[a.record.topic].priority
      || a.expiresAtMs - b.expiresAtMs));
    // Several at once, so that a flood does not sort the whole table for each record.
    const evicted = ordered.slice(0, Math.max(1, Math.floor(this.#maxRecords / EVICTION_DIVISOR)));
    evicted.forEach(([id]) => this.#entries.delete(id));
    this.#evictedCount += evicted.length;
  }
}
