import { getRendezvousScore } from '../membership/getRendezvousScore.ts';
import {
  GOSSIP_TOPIC_RULES, type GossipRecord, type GossipTopic, type GossipTopicRule,
} from './GossipRecord.ts';

const UINT32_RANGE = 0x1_0000_0000;

/** Versions are kept after their records expire, so that a republished key beats late copies. */
const VERSION_RETENTION_MS = 60_000;

/** A full table evicts its maximum number of records divided by this. */
const EVICTION_DIVISOR = 16;

/** A record with its expiry on this host's monotonic clock. */
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

/** The records that this host knows, up to a maximum number. */
export class GossipTable {
  readonly #maxRecords: number;

  readonly #entries = new Map<string, GossipEntry>();

  #evictedCount = 0;

  /**
   * @param maxRecords - maximum number of records
   */
  constructor(maxRecords: number) {
    this.#maxRecords = maxRecords;
  }

  /** Number of known records, including expired ones whose version is still kept. */
  get size(): number {
    return this.#entries.size;
  }

  /** Number of records evicted because the table was full. */
  get evictedCount(): number {
    return this.#evictedCount;
  }

  /**
   * @param topic - what the record is about
   * @param key - identifies the subject within the topic
   * @param nowMs - the time of the step
   * @returns the record with its remaining lifetime; undefined when unknown or expired
   */
  get(topic: GossipTopic, key: string, nowMs: number): GossipRecord | undefined {
    const entry = this.#entries.get(getId(topic, key));
    return entry === undefined || entry.expiresAtMs <= nowMs
      ? undefined
      : { ...entry.record, remainingMs: entry.expiresAtMs - nowMs };
  }

  /**
   * @param topic - what the record is about
   * @param key - identifies the subject within the topic
   * @returns the highest known version, also of an expired record; 0 for none
   */
  getVersion(topic: GossipTopic, key: string): number {
    return this.#entries.get(getId(topic, key))?.record.version ?? 0;
  }

  /**
   * @param record - a record of this host or of a peer
   * @param nowMs - the time of the step
   * @returns whether the record was newer than the known one and has replaced it
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
   * Hashes the records by bucket; equal tables have equal hashes regardless of insertion order.
   *
   * @param bucketCount - number of buckets
   * @param scopes - scopes of the included records
   * @returns one unsigned 32-bit hash for each bucket
   */
  getDigest(bucketCount: number, scopes: readonly GossipTopicRule['scope'][]): number[] {
    const buckets = new Array<number>(bucketCount).fill(0);
    this.#entries.forEach(({ record }, id) => {
      if (scopes.includes(GOSSIP_TOPIC_RULES[record.topic].scope)) {
        const bucket = getBucket(id, bucketCount);
        const score = getRendezvousScore(id, `${record.version}\n${record.origin}`);
        // eslint-disable-next-line no-bitwise -- exclusive or is independent of the order
        buckets[bucket] = ((buckets[bucket] ?? 0) ^ (score * UINT32_RANGE)) >>> 0;
      }
    });
    return buckets;
  }

  /**
   * @param buckets - indices of the requested buckets
   * @param bucketCount - total number of buckets
   * @param scopes - scopes of the included records
   * @param nowMs - the time of the step
   * @returns the records in these buckets, ordered by topic priority
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
    // Evicts several records at once, so that a flood does not sort the table for each record.
    const evicted = ordered.slice(0, Math.max(1, Math.floor(this.#maxRecords / EVICTION_DIVISOR)));
    evicted.forEach(([id]) => this.#entries.delete(id));
    this.#evictedCount += evicted.length;
  }
}
