/** Value and version of a key. */
export interface StoredValue {
  readonly version: number;
  readonly value: string;
}

/** Result of a compare-and-swap. */
export type SwapResult =
  | { readonly isSwapped: true; readonly version: number }
  | { readonly isSwapped: false; readonly version: number; readonly value: string };

interface Lease {
  ttlMs: number;
  expiresAtMs: number;
  readonly keys: Set<string>;
}

/** In-memory key-value store with compare-and-swap, leases and watches. */
export class KeyValueStore {
  readonly #values = new Map<string, StoredValue>();

  readonly #leases = new Map<string, Lease>();

  readonly #watchers = new Map<string, Set<() => void>>();

  readonly #getNowMs: () => number;

  /** One counter for all keys, so that a key that is created again has a higher version. */
  #revision = 0;

  #leaseCount = 0;

  /**
   * @param getNowMs - returns the time for the expiry of leases, in milliseconds
   */
  constructor(getNowMs: () => number) {
    this.#getNowMs = getNowMs;
  }

  /**
   * @param key - the key
   * @returns its value; null if it is missing
   */
  get(key: string): StoredValue | null {
    this.expireLeases();
    return this.#values.get(key) ?? null;
  }

  /**
   * Replaces a value if its version is the expected one.
   *
   * @param key - the key
   * @param expectedVersion - expected version; 0 if the key should be missing
   * @param value - the new value
   * @param leaseId - lease whose end deletes the key; null for a permanent key
   * @returns the result
   */
  swap(key: string, expectedVersion: number, value: string, leaseId: string | null): SwapResult {
    const current = this.get(key);
    const version = current?.version ?? 0;
    const lease = leaseId === null ? null : this.#leases.get(leaseId);
    if (version !== expectedVersion || lease === undefined) {
      return { isSwapped: false, version, value: current?.value ?? '' };
    }
    this.#revision += 1;
    this.#values.set(key, { version: this.#revision, value });
    lease?.keys.add(key);
    this.#notify(key);
    return { isSwapped: true, version: this.#revision };
  }

  /**
   * @param key - the key to watch
   * @param onChange - called on each change until the watch is stopped
   * @returns a function that stops the watch
   */
  watch(key: string, onChange: () => void): () => void {
    const watchers = this.#watchers.get(key) ?? new Set();
    this.#watchers.set(key, watchers);
    watchers.add(onChange);
    return () => watchers.delete(onChange);
  }

  /**
   * @param ttlMs - how long the lease lasts without renewal
   * @returns the id of a new lease
   */
  grantLease(ttlMs: number): string {
    this.#leaseCount += 1;
    const leaseId = `lease-${this.#leaseCount}`;
    this.#leases.set(leaseId, { ttlMs, expiresAtMs: this.#getNowMs() + ttlMs, keys: new Set() });
    return leaseId;
  }

  /**
   * @param leaseId - the lease to renew
   * @returns whether it still existed
   */
  renewLease(leaseId: string): boolean {
    this.expireLeases();
    const lease = this.#leases.get(leaseId);
    if (lease === undefined) {
      return false;
    }
    lease.expiresAtMs = this.#getNowMs() + lease.ttlMs;
    return true;
  }

  /**
   * Ends a lease and deletes its keys.
   *
   * @param leaseId - the lease to end
   */
  revokeLease(leaseId: string): void {
    const lease = this.#leases.get(leaseId);
    this.#leases.delete(leaseId);
    lease?.keys.forEach((key) => {
      this.#values.delete(key);
      this.#notify(key);
    });
  }

  /** Ends the leases that have expired. */
  expireLeases(): void {
    const nowMs = this.#getNowMs();
    this.#leases.forEach((lease, leaseId) => {
      if (lease.expiresAtMs <= nowMs) {
        this.revokeLease(leaseId);
      }
    });
  }

  #notify(key: string): void {
    this.#watchers.get(key)?.forEach((onChange) => onChange());
  }
}
