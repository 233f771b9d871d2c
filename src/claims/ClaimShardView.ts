import type { KeyValueAnswer, KeyValueCall } from '../platform/KeyValueCall.ts';
import {
  createClaimBucket, formatClaimBucket, parseClaimBucket,
  type ClaimBucket, type ClaimEntry, type ClaimHead,
} from './ClaimBucket.ts';
import type { ClaimOptions } from './ClaimOptions.ts';
import type { CachedBucket, ClaimView } from './evaluateOperation.ts';

/** The call that has to be made before the shard's log can be used. */
export type NextViewCall =
  | { readonly kind: 'readHead' | 'writeHead'; readonly call: KeyValueCall }
  | { readonly kind: 'readBucket'; readonly sequence: number; readonly call: KeyValueCall };

const EMPTY_HEAD: ClaimHead = { firstSequence: 0, openSequence: 0 };

/**
 * What one host knows of one shard's log: the head and the buckets within the retention. The head
 * moves to the next bucket only after the open one is sealed, and a bucket is written only once the
 * head names it. Buckets lie in a ring of platform keys, `claims/SHARD/SLOT`, each used again when
 * its content is older than the retention; key versions only grow, so that an old writer's
 * compare-and-swap fails.
 */
export class ClaimShardView {
  readonly #shardIndex: number;

  readonly #options: ClaimOptions;

  readonly #buckets = new Map<number, CachedBucket>();

  #head: ClaimHead | null = null;

  #headVersion = 0;

  #nextHead: ClaimHead = EMPTY_HEAD;

  #newestFirst: readonly CachedBucket[] | null = null;

  /**
   * @param shardIndex - which shard
   * @param options - settings of the claim log
   */
  constructor(shardIndex: number, options: ClaimOptions) {
    this.#shardIndex = shardIndex;
    this.#options = options;
  }

  /**
   * @returns the call to make before the log can be used, or null when it is ready
   */
  getNextCall(): NextViewCall | null {
    const head = this.#head;
    if (head === null) {
      return { kind: 'readHead', call: { kind: 'get', key: this.#getHeadKey() } };
    }
    const sequence = this.#getMissingSequence(head);
    if (sequence !== null) {
      return { kind: 'readBucket', sequence, call: this.createRead(sequence) };
    }
    if (this.#buckets.get(head.openSequence)?.bucket.sealedAtMs === null) {
      return null;
    }
    this.#nextHead = this.#getNextHead(head);
    return {
      kind: 'writeHead',
      call: {
        kind: 'compareAndSwap',
        key: this.#getHeadKey(),
        expectedVersion: this.#headVersion,
        value: JSON.stringify(this.#nextHead),
      },
    };
  }

  /**
   * @param sequence - a bucket
   * @returns the call that reads it
   */
  createRead(sequence: number): KeyValueCall {
    return { kind: 'get', key: this.#getBucketKey(sequence) };
  }

  /**
   * @param bucket - the new content, decided on the cached version
   * @returns the call that writes it
   */
  createWrite(bucket: ClaimBucket): KeyValueCall {
    return {
      kind: 'compareAndSwap',
      key: this.#getBucketKey(bucket.sequence),
      expectedVersion: this.#buckets.get(bucket.sequence)?.version ?? 0,
      value: formatClaimBucket(bucket),
    };
  }

  /**
   * @returns the buckets, newest first, and the wall time
   */
  getClaimView(): Omit<ClaimView, 'freshAfterMs'> {
    this.#newestFirst ??= [...this.#buckets.values()]
      .sort((left, right) => right.bucket.sequence - left.bucket.sequence);
    return { buckets: this.#newestFirst, wallMs: this.#options.getWallMs() };
  }

  /**
   * @param sequence - a bucket
   * @returns how many entries one write may put into it
   */
  getRemainingCapacity(sequence: number): number {
    if (sequence !== this.#head?.openSequence) {
      return this.#options.maxBucketClaims;
    }
    return this.#options.maxBucketClaims - (this.#buckets.get(sequence)?.bucket.claims.size ?? 0);
  }

  /**
   * @param sequence - a cached bucket
   * @param key - a claim key
   * @returns whether an entry for the key would replace one, and so needs no room
   */
  hasEntry(sequence: number, key: string): boolean {
    return this.#buckets.get(sequence)?.bucket.claims.has(key) ?? false;
  }

  /**
   * @param sequence - a bucket
   * @returns whether it is the open one and full, and the next may be opened
   */
  canSeal(sequence: number): boolean {
    return sequence === this.#head?.openSequence && this.getRemainingCapacity(sequence) <= 0
      && this.#hasFreeSlot();
  }

  /**
   * @param sequence - a cached bucket
   * @param entries - entries to put or replace
   * @param wallMs - Unix time
   * @returns the bucket's new content, sealed when it is full or old and the ring has room
   */
  createBucket(
    sequence: number,
    entries: ReadonlyMap<string, ClaimEntry>,
    wallMs: number,
  ): ClaimBucket {
    const bucket = this.#buckets.get(sequence)?.bucket ?? createClaimBucket(sequence, wallMs);
    const claims = new Map([...bucket.claims, ...entries]);
    const isDue = claims.size >= this.#options.maxBucketClaims
      || wallMs - bucket.openedAtMs >= this.#options.bucketMs;
    const isSealed = bucket.sealedAtMs === null && isDue && this.#hasFreeSlot();
    return { ...bucket, claims, sealedAtMs: isSealed ? wallMs : bucket.sealedAtMs };
  }

  /**
   * @param key - a claim key
   * @param sinceMs - monotonic time
   * @returns whether a read sent at or after that time showed that the key was never run
   */
  isUnusedSince(key: string, sinceMs: number): boolean {
    const head = this.#head;
    const open = head === null ? undefined : this.#buckets.get(head.openSequence);
    if (head === null || open === undefined || this.#getMissingSequence(head) !== null) {
      return false;
    }
    const isKnown = open.bucket.sealedAtMs === null && open.readAtMs >= sinceMs;
    const newest = this.getClaimView().buckets.find(({ bucket }) => bucket.claims.has(key));
    const state = newest?.bucket.claims.get(key)?.state;
    return isKnown && (state === undefined || state === 'released');
  }

  /**
   * Drops what a write with a lost answer may have changed, so that it is read back.
   *
   * @param sequence - the bucket, or null for the head
   */
  invalidate(sequence: number | null): void {
    if (sequence === null) {
      this.#head = null;
      return;
    }
    this.#buckets.delete(sequence);
    this.#newestFirst = null;
  }

  /**
   * @param answer - answer to the read or write of the head
   */
  handleHeadAnswer(answer: KeyValueAnswer): void {
    switch (answer.kind) {
      case 'swapped':
        this.#setHead(this.#nextHead, answer.version);
        return;
      case 'value':
      case 'conflict':
        this.#setHead(
          answer.value === '' ? EMPTY_HEAD : JSON.parse(answer.value) as ClaimHead,
          answer.version,
        );
        return;
      case 'missing':
        this.#setHead(EMPTY_HEAD, 0);
        return;
      default:
        this.#head = null;
    }
  }

  /**
   * @param sequence - the bucket that was read or written
   * @param written - what was written; null for a read
   * @param answer - the platform's answer
   * @param readAtMs - when the call was sent, in monotonic time
   */
  handleBucketAnswer(
    sequence: number,
    written: ClaimBucket | null,
    answer: KeyValueAnswer,
    readAtMs: number,
  ): void {
    switch (answer.kind) {
      case 'swapped':
        if (written !== null) {
          this.#setBucket({ bucket: written, version: answer.version, readAtMs });
        }
        return;
      case 'value':
      case 'conflict':
        this.#cacheValue(sequence, answer.value, answer.version, readAtMs);
        return;
      case 'missing':
        this.#cacheValue(sequence, '', 0, readAtMs);
        return;
      default:
        this.invalidate(sequence);
    }
  }

  #getMissingSequence(head: ClaimHead): number | null {
    for (let sequence = head.firstSequence; sequence <= head.openSequence; sequence += 1) {
      const cached = this.#buckets.get(sequence);
      // A bucket that the head has passed may have got claims after it was read here.
      const isUsable = cached !== undefined
        && (sequence === head.openSequence || cached.bucket.sealedAtMs !== null);
      if (!isUsable) {
        return sequence;
      }
    }
    return null;
  }

  #cacheValue(sequence: number, value: string, version: number, readAtMs: number): void {
    const stored = value === '' ? null : parseClaimBucket(value);
    if (stored?.sequence === sequence) {
      this.#setBucket({ bucket: stored, version, readAtMs });
      return;
    }
    const isUnwritten = (stored === null || stored.sequence < sequence)
      && sequence === this.#head?.openSequence;
    if (isUnwritten) {
      const bucket = createClaimBucket(sequence, this.#options.getWallMs());
      this.#setBucket({ bucket, version, readAtMs });
      return;
    }
    // The slot is in use for a later bucket: the known head is old.
    this.#head = null;
  }

  #setBucket(cached: CachedBucket): void {
    this.#buckets.set(cached.bucket.sequence, cached);
    this.#newestFirst = null;
  }

  #setHead(head: ClaimHead, version: number): void {
    this.#head = head;
    this.#headVersion = version;
    [...this.#buckets.keys()]
      .filter((sequence) => sequence < head.firstSequence || sequence > head.openSequence)
      .forEach((sequence) => this.#buckets.delete(sequence));
    this.#newestFirst = null;
  }

  #getNextHead(head: ClaimHead): ClaimHead {
    const expiredBeforeMs = this.#options.getWallMs() - this.#options.retentionMs;
    let { firstSequence } = head;
    const isExpired = (sequence: number): boolean => {
      const sealedAtMs = this.#buckets.get(sequence)?.bucket.sealedAtMs ?? Infinity;
      return sequence < head.openSequence && sealedAtMs < expiredBeforeMs;
    };
    while (isExpired(firstSequence)) {
      firstSequence += 1;
    }
    return { firstSequence, openSequence: head.openSequence + 1 };
  }

  #hasFreeSlot(): boolean {
    if (this.#head === null) {
      return false;
    }
    const next = this.#getNextHead(this.#head);
    return next.openSequence - next.firstSequence < this.#options.slotCount;
  }

  #getHeadKey(): string {
    return `claims/${this.#shardIndex}/head`;
  }

  #getBucketKey(sequence: number): string {
    return `claims/${this.#shardIndex}/${sequence % this.#options.slotCount}`;
  }
}
