import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { DirectoryChange } from './DirectoryChange.ts';
import type { UpstreamLifetime } from './UpstreamEntry.ts';

interface Removal {
  readonly atMs: number;
}

interface UpstreamRemoval extends Removal {
  readonly lifetime: UpstreamLifetime;
}

/**
 * Time after a new era was read for which an entry that the store lacks stays in use: whoever wrote
 * it writes it again within two seconds of the store's return.
 */
const MISSING_GRACE_MS = 2_500;
/** Time after a new era was read for which an entry that had been removed stays removed. */
const REMOVED_HOLD_MS = 10_000;
/** Oldest removal that is remembered, which bounds the age of a copy that it still covers. */
const REMOVAL_TTL_MS = 120_000;
/** Number of removals of one kind above which the oldest is forgotten. */
const MAX_REMOVALS = 1_024;

function remember<Key, Value>(map: Map<Key, Value>, key: Key, value: Value): void {
  map.delete(key);
  map.set(key, value);
  const [oldest] = map.keys();
  if (oldest !== undefined && map.size > MAX_REMOVALS) {
    map.delete(oldest);
  }
}

/**
 * Decides which part of the store's content counts after the store came back from an older copy.
 *
 * The copy's word is older than what this host knows. For a while an entry that the copy lacks
 * stays, and an entry that had been removed before is not taken back. What is written again since
 * then arrives as a change, to which this filter does not apply.
 */
export class StoreRollbackFilter {
  readonly #clock: Clock;

  readonly #removedUpstreams = new Map<UpstreamId, UpstreamRemoval>();

  readonly #restoredDomains = new Map<string, Removal>();

  /** Monotonic time when the content of the era was first read; null in the first era. */
  #startedAtMs: number | null = null;

  /** Monotonic time of the last read of the whole content. */
  #readAtMs = -Infinity;

  /**
   * @param clock - tells when the graces end
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Starts the graces for a new era. */
  start(): void {
    this.#startedAtMs = this.#clock.getMonotonicMs();
  }

  /** Records that the whole content has been read and applied. */
  recordRead(): void {
    this.#readAtMs = this.#clock.getMonotonicMs();
  }

  /**
   * Time until the whole content has to be read again, since a grace has ended; null when no grace
   * ends after the last read.
   */
  get nextReadInMs(): number | null {
    const startedAtMs = this.#startedAtMs;
    if (startedAtMs === null) {
      return null;
    }
    const endMs = [MISSING_GRACE_MS, REMOVED_HOLD_MS].map((graceMs) => startedAtMs + graceMs)
      .find((atMs) => atMs > this.#readAtMs);
    return endMs === undefined ? null : Math.max(0, endMs - this.#clock.getMonotonicMs());
  }

  /** Whether entries that the store lacks stay in use. */
  get isKeepingMissing(): boolean {
    return this.#isWithin(MISSING_GRACE_MS);
  }

  /** @param lifetime - a process of an upstream whose entry is removed */
  recordUpstreamRemoved(lifetime: UpstreamLifetime): void {
    remember(this.#removedUpstreams, lifetime.id, { lifetime, atMs: this.#clock.getMonotonicMs() });
  }

  /** @param failureDomain - a failure domain whose drain has ended */
  recordDomainRestored(failureDomain: string): void {
    remember(this.#restoredDomains, failureDomain, { atMs: this.#clock.getMonotonicMs() });
  }

  /**
   * @param change - an entry that the store lists
   * @returns whether it is the copy's word about an entry that had been removed since
   */
  isOutdated(change: DirectoryChange): boolean {
    switch (change.kind) {
      case 'upstream': {
        const removed = this.#removedUpstreams.get(change.entry.id);
        return removed !== undefined
          && removed.lifetime.startedAtMs === change.entry.startedAtMs
          && this.#isWithin(REMOVED_HOLD_MS)
          && this.#isRemembered(removed);
      }
      case 'domainDrained': {
        const restored = this.#restoredDomains.get(change.failureDomain);
        return restored !== undefined
          && this.#isWithin(MISSING_GRACE_MS)
          && this.#isRemembered(restored);
      }
      default:
        return false;
    }
  }

  /** Removals since the start of the era are the new era's own. */
  #isRemembered({ atMs }: Removal): boolean {
    return this.#startedAtMs !== null
      && atMs <= this.#startedAtMs
      && atMs > this.#startedAtMs - REMOVAL_TTL_MS;
  }

  #isWithin(graceMs: number): boolean {
    return this.#startedAtMs !== null
      && this.#clock.getMonotonicMs() < this.#startedAtMs + graceMs;
  }
}
