import type { HostListEntry } from '../src/platform/HostListEntry.ts';

interface ListedHost {
  readonly entry: HostListEntry;
  readonly expiresAtMs: number;
}

/** A host list that shows the state of some time ago. */
export class LaggingHostList {
  readonly #lagMs: number;

  readonly #ttlMs: number;

  readonly #entries = new Map<string, ListedHost>();

  #visible: readonly HostListEntry[] = [];

  /**
   * @param lagMs - how late a change is seen; 0 for at once
   * @param ttlMs - how long an entry lasts without a heartbeat
   */
  constructor(lagMs: number, ttlMs: number) {
    this.#lagMs = lagMs;
    this.#ttlMs = ttlMs;
  }

  /**
   * @param entry - a host that registers or gives a sign of life
   */
  put(entry: HostListEntry): void {
    this.#entries.set(entry.hostId, { entry, expiresAtMs: performance.now() + this.#ttlMs });
    this.#publish();
  }

  /**
   * @param hostId - a host that is gone
   */
  delete(hostId: string): void {
    this.#entries.delete(hostId);
    this.#publish();
  }

  /**
   * @returns the hosts as they are seen now
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
