import { performance } from 'node:perf_hooks';

/** An item of the store. */
export interface StoreItem {
  readonly key: string;
  /** Standard base64. */
  readonly value: string;
  readonly rev: number;
  readonly created: number;
  /** Lease id; 0 for none. */
  readonly lease: number;
}

/** A change: the written item, or the removed key. */
export type StoreEvent = StoreItem | {
  readonly key: string; readonly rev: number; readonly deleted: true;
};

/** A transaction: expected revisions, writes and removals. */
export interface StoreTransaction {
  readonly expected: readonly { readonly key: string; readonly rev: number }[];
  readonly writes: readonly {
    readonly key: string; readonly value: string; readonly lease?: number;
  }[];
  readonly remove: readonly string[];
}

/** Result of a transaction. */
export type TransactionResult =
  | { readonly kind: 'done'; readonly rev: number }
  | { readonly kind: 'conflict'; readonly items: readonly StoreItem[] }
  | { readonly kind: 'leaseUnknown' };

interface Lease {
  readonly ttlMs: number;
  endsAtMs: number;
}

/** Copy of the whole state, as a backup holds it. */
export interface StoreCopy {
  readonly items: readonly StoreItem[];
  readonly leases: readonly (readonly [number, Readonly<Lease>])[];
  readonly events: readonly StoreEvent[];
  readonly revision: number;
  readonly oldestRevision: number;
  readonly leaseCount: number;
}

const FIRST_REVISION = 100;
/** Lease ids may be as large as a number can hold exactly. */
const FIRST_LEASE_ID = Number.MAX_SAFE_INTEGER - 1_000_000;

/** State of the users' store: items with revisions, leases, and a history of changes. */
export class StoreState {
  readonly #items = new Map<string, StoreItem>();

  readonly #leases = new Map<number, Lease>();

  readonly #listeners = new Set<() => void>();

  #events: StoreEvent[] = [];

  #revision = FIRST_REVISION;

  #oldestRevision = FIRST_REVISION;

  #leaseCount = 0;

  #era = 1;

  /** The revision of the newest change. */
  get revision(): number {
    return this.#revision;
  }

  /** Rises by one each time the store comes back from a copy. */
  get era(): number {
    return this.#era;
  }

  /** @returns a copy of the whole state */
  createCopy(): StoreCopy {
    return {
      items: [...this.#items.values()],
      leases: [...this.#leases].map(([id, lease]) => [id, { ...lease }]),
      events: [...this.#events],
      revision: this.#revision,
      oldestRevision: this.#oldestRevision,
      leaseCount: this.#leaseCount,
    };
  }

  /**
   * Comes back from a copy: later writes and leases are lost; their numbers are given out again.
   *
   * @param copy - the copy
   */
  restore(copy: StoreCopy): void {
    this.#items.clear();
    copy.items.forEach((item) => this.#items.set(item.key, item));
    this.#leases.clear();
    const nowMs = performance.now();
    copy.leases.forEach(([id, { ttlMs }]) => (
      this.#leases.set(id, { ttlMs, endsAtMs: nowMs + ttlMs })));
    this.#events = [...copy.events];
    this.#revision = copy.revision;
    this.#oldestRevision = copy.oldestRevision;
    this.#leaseCount = copy.leaseCount;
    this.#era += 1;
    this.#notify();
  }

  /**
   * @param key - a key
   * @returns its item, if it exists
   */
  get(key: string): StoreItem | undefined {
    return this.#items.get(key);
  }

  /**
   * @param prefix - prefix of the keys
   * @param after - key after which the range begins
   * @param limit - maximum number of items
   * @returns the items in the order of their keys, and whether there are more
   */
  getRange(
    prefix: string,
    after: string,
    limit: number,
  ): { items: StoreItem[]; hasMore: boolean } {
    const items = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return { items: items.slice(0, limit), hasMore: items.length > limit };
  }

  /**
   * @param key - a key
   * @returns its item; undefined when there is none
   */
  getItem(key: string): StoreItem | undefined {
    return this.#items.get(key);
  }

  /**
   * @param prefix - prefix of the keys
   * @param after - a revision
   * @returns the later changes; null if that history was dropped
   */
  getEvents(prefix: string, after: number): StoreEvent[] | null {
    return after < this.#oldestRevision || after > this.#revision
      ? null
      : this.#events.filter(({ key, rev }) => rev > after && key.startsWith(prefix));
  }

  /** @param listener - called after each change, until it is removed */
  addListener(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Applies a transaction atomically.
   *
   * @param transaction - see {@link StoreTransaction}
   * @returns the result
   */
  apply({ expected, writes, remove }: StoreTransaction): TransactionResult {
    this.expireLeases();
    const isMet = expected.every(({ key, rev }) => (this.#items.get(key)?.rev ?? 0) === rev);
    if (!isMet) {
      const items = expected.flatMap(({ key }) => this.#items.get(key) ?? []);
      return { kind: 'conflict', items };
    }
    const leases = writes.map(({ lease }) => lease ?? 0).filter((lease) => lease !== 0);
    if (!leases.every((lease) => this.#leases.has(lease))) {
      return { kind: 'leaseUnknown' };
    }
    this.#revision += 1;
    writes.forEach(({ key, value, lease }) => this.#write(key, value, lease ?? 0));
    remove.forEach((key) => this.#remove(key));
    this.#notify();
    return { kind: 'done', rev: this.#revision };
  }

  /**
   * @param ttlMs - duration of the lease without renewal
   * @returns the id of the lease
   */
  createLease(ttlMs: number): number {
    this.#leaseCount += 1;
    const id = FIRST_LEASE_ID + this.#leaseCount;
    this.#leases.set(id, { ttlMs, endsAtMs: performance.now() + ttlMs });
    return id;
  }

  /**
   * @param id - id of a lease
   * @returns whether the lease still existed
   */
  renewLease(id: number): boolean {
    this.expireLeases();
    const lease = this.#leases.get(id);
    if (lease !== undefined) {
      lease.endsAtMs = performance.now() + lease.ttlMs;
    }
    return lease !== undefined;
  }

  /**
   * @param id - id of a lease; items written under it are removed
   * @returns whether the lease still existed
   */
  endLease(id: number): boolean {
    if (!this.#leases.delete(id)) {
      return false;
    }
    const keys = [...this.#items.values()].filter(({ lease }) => lease === id);
    if (keys.length > 0) {
      this.#revision += 1;
      keys.forEach(({ key }) => this.#remove(key));
      this.#notify();
    }
    return true;
  }

  /** Ends the leases that have expired. */
  expireLeases(): void {
    const nowMs = performance.now();
    [...this.#leases].filter(([, { endsAtMs }]) => endsAtMs <= nowMs)
      .forEach(([id]) => this.endLease(id));
  }

  /** Drops the history of all changes so far. */
  dropHistory(): void {
    this.#oldestRevision = this.#revision;
    this.#events = [];
  }

  #write(key: string, value: string, lease: number): void {
    const created = this.#items.get(key)?.created ?? this.#revision;
    const item = {
      key, value, rev: this.#revision, created, lease,
    };
    this.#items.set(key, item);
    this.#events.push(item);
  }

  #remove(key: string): void {
    if (this.#items.delete(key)) {
      this.#events.push({ key, rev: this.#revision, deleted: true });
    }
  }

  #notify(): void {
    this.#listeners.forEach((listener) => listener());
  }
}
