import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamLifetime } from './UpstreamEntry.ts';

/** Rate limit that a process of an upstream advertised, with its times. */
export interface AdvertisedLimit {
  readonly lifetime: UpstreamLifetime;
  /** Requests per second, summed over all hosts; null when the process advertises no limit. */
  readonly requestsPerSecond: number | null;
  /** Monotonic send time of the request; the limit was advertised no earlier. */
  readonly requestSentAtMs: number;
  /** Monotonic time at which the answer was read; the limit was advertised no later. */
  readonly receivedAtMs: number;
}

/** Number of entries above which expired entries are deleted. */
const MAX_COUNT_BEFORE_CLEANUP = 1_024;
/** Time after which an entry expires unless the upstream advertises a limit again. */
const LIMIT_TTL_MS = 900_000;

function startedLater(lifetime: UpstreamLifetime, known: UpstreamLifetime): boolean {
  return lifetime.startedAtMs !== null
    && known.startedAtMs !== null
    && lifetime.startedAtMs > known.startedAtMs;
}

function getStrictness({ requestsPerSecond }: AdvertisedLimit): number {
  return -(requestsPerSecond ?? Infinity);
}

/** Whether a limit replaces the known limit of the same upstream. */
function supersedes(limit: AdvertisedLimit, known: AdvertisedLimit): boolean {
  if (startedLater(known.lifetime, limit.lifetime)) {
    return false;
  }
  if (startedLater(limit.lifetime, known.lifetime) || limit.requestSentAtMs >= known.receivedAtMs) {
    return true;
  }
  const isCertainlyOlder = limit.receivedAtMs <= known.requestSentAtMs;
  const strictness = getStrictness(limit) - getStrictness(known);
  return !isCertainlyOlder
    && (strictness > 0 || (strictness === 0 && limit.receivedAtMs > known.receivedAtMs));
}

/**
 * Keeps the newest rate limit that each upstream advertised.
 *
 * Answers can arrive out of order. When it is uncertain which of two limits is newer, the stricter
 * one applies. A looser limit replaces it only if the request of its answer was sent after the
 * stricter limit was received.
 */
export class AdvertisedLimitTable {
  readonly #clock: Clock;

  readonly #limits = new Map<UpstreamId, AdvertisedLimit>();

  /**
   * @param clock - tells when entries expire
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records an advertised limit.
   *
   * @param limit - the limit that a process of an upstream advertised
   * @returns whether the limit in force has changed
   */
  record(limit: AdvertisedLimit): boolean {
    const { id } = limit.lifetime;
    const known = this.#limits.get(id);
    // The absence of a limit is recorded only where it ends a limit.
    const isNews = limit.requestsPerSecond !== null
      || this.getRequestsPerSecond(limit.lifetime) !== null;
    if (!isNews || (known !== undefined && !supersedes(limit, known))) {
      return false;
    }
    this.#limits.set(id, limit);
    this.#deleteExpired();
    return limit.requestsPerSecond !== (known?.requestsPerSecond ?? null);
  }

  /**
   * @param lifetime - a process of an upstream
   * @returns requests per second, summed over all hosts; null when it advertises no limit
   */
  getRequestsPerSecond(lifetime: UpstreamLifetime): number | null {
    return this.get(lifetime)?.requestsPerSecond ?? null;
  }

  /**
   * @param lifetime - a process of an upstream
   * @returns the newest limit that it advertised; undefined when it never advertised one
   */
  get(lifetime: UpstreamLifetime): AdvertisedLimit | undefined {
    const limit = this.#limits.get(lifetime.id);
    return limit === undefined || startedLater(lifetime, limit.lifetime) ? undefined : limit;
  }

  /** Whether no upstream has ever advertised a limit. */
  get isEmpty(): boolean {
    return this.#limits.size === 0;
  }

  /** Entries whose upstream advertises a limit. */
  get activeLimits(): readonly AdvertisedLimit[] {
    return [...this.#limits.values()].filter((limit) => limit.requestsPerSecond !== null);
  }

  #deleteExpired(): void {
    if (this.#limits.size <= MAX_COUNT_BEFORE_CLEANUP) {
      return;
    }
    const expiredBeforeMs = this.#clock.getMonotonicMs() - LIMIT_TTL_MS;
    this.#limits.forEach(({ receivedAtMs }, id) => {
      if (receivedAtMs <= expiredBeforeMs) {
        this.#limits.delete(id);
      }
    });
  }
}
