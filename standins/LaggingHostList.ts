import type { HostListEntry } from '../src/platform/HostListEntry.ts';

interface ListedHost {
  readonly entry: HostListEntry;
  readonly expiresAtMs: number;
}

/** Host list that shows changes with a delay. */
export class LaggingHostList {
  readonly #lagMs: number;

  readonly #ttlMs: number;

  readonly #entries = new Map<string, ListedHost>();

  #visible: readonly HostListEntry[] = [];

  /**
   * @param lagMs - delay before a change is visible; 0 for none
   * @param ttlMs - time after which an entry without a heartbeat expires
   */
  constructor(lagMs: number, ttlMs: number) {
    this.#lagMs = lagMs;
    this.#ttlMs = ttlMs;
  }

  /**
   * @param entry - a host that registers or sends a heartbeat
   */
  put(entry: HostListEntry): void {
    this.#entries.set(entry.hostId, { entry, expiresAtMs: performance.now() + this.#ttlMs });
    this.#publish();
  }

  /**
   * @param hostId - the host to remove
   */
  delete(hostId: string): void {
    this.#entries.delete(hostId);
    this.#publish();
  }

  /**
   * @returns the visible hosts
   */
  read(): readonly HostListEntry[] {
    this.#expire();
    return this.#visible;
  }

  #expire(): void {
    const nowMs = performance.now();
    const gone = [...this.#entries.values()].filter((held) => held.expiresAtMs <= nowMs);
    gone.forEach((held) => this.#entries.delete(held.entry.hostId));
    if (gone.length > 0) {
      this.#publish();
    }
  }

  #publish(): void {
    const snapshot = [...this.#entries.values()].map((held) => held.entry);
    if (this.#lagMs === 0) {
      this.#visible = snapshot;
      return;
    }
    setTimeout(() => {
      this.#visible = snapshot;
    }, this.#lagMs).unref();
  }
}
