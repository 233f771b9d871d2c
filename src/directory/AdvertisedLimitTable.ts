import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamLifetime } from './UpstreamEntry.ts';

/** What a process of an upstream has said of its limit, and when. */
export interface AdvertisedLimit {
  readonly lifetime: UpstreamLifetime;
  /** Requests a second that it takes from all hosts together; null when it names no limit. */
  readonly requestsPerSecond: number | null;
  /** Monotonic time before which it can't have been said: the request was sent then. */
  readonly requestSentAtMs: number;
  /** Monotonic time by which it was said: the answer was read then. */
  readonly receivedAtMs: number;
}

/** Words that are kept before those of long ago are looked for. */
const MAX_COUNT_BEFORE_CLEANUP = 1_024;
/** How long a word is kept when the upstream says nothing more. */
const LIMIT_TTL_MS = 900_000;

function startedLater(word: UpstreamLifetime, known: UpstreamLifetime): boolean {
  return word.startedAtMs !== null
    && known.startedAtMs !== null
    && word.startedAtMs > known.startedAtMs;
}

function getStrictness({ requestsPerSecond }: AdvertisedLimit): number {
  return -(requestsPerSecond ?? Infinity);
}

/** Whether a word takes the place of the one that is known of the same upstream. */
function supersedes(word: AdvertisedLimit, known: AdvertisedLimit): boolean {
  if (startedLater(known.lifetime, word.lifetime)) {
    return false;
  }
  if (startedLater(word.lifetime, known.lifetime) || word.requestSentAtMs >= known.receivedAtMs) {
    return true;
  }
  const isSurelyOlder = word.receivedAtMs <= known.requestSentAtMs;
  const strictness = getStrictness(word) - getStrictness(known);
  return !isSurelyOlder
    && (strictness > 0 || (strictness === 0 && word.receivedAtMs > known.receivedAtMs));
}

/**
 * The limits that upstreams name, by the newest word of each.
 *
 * Answers overtake one another. Of two words neither of which is surely the later one the stricter
 * holds; a looser one counts from an answer whose request was sent after the stricter was heard.
 */
export class AdvertisedLimitTable {
  readonly #clock: Clock;

  readonly #limits = new Map<UpstreamId, AdvertisedLimit>();

  /**
   * @param clock - dates what upstreams say
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param word - what an upstream has said
   * @returns whether another limit is in force by it
   */
  record(word: AdvertisedLimit): boolean {
    const { id } = word.lifetime;
    const known = this.#limits.get(id);
    // That an upstream still names none is no news.
    const isNews = word.requestsPerSecond !== null || this.getRequestsPerSecond(word.lifetime) !== null;
    if (!isNews || (known !== undefined && !supersedes(word, known))) {
      return false;
    }
    this.#limits.set(id, word);
    this.#deleteExpired();
    return word.requestsPerSecond !== (known?.requestsPerSecond ?? null);
  }

  /**
   * @param lifetime - a process of an upstream
   * @returns requests a second that it takes from all hosts together; null when it names no limit
   */
  getRequestsPerSecond(lifetime: UpstreamLifetime): number | null {
    return this.get(lifetime)?.requestsPerSecond ?? null;
  }

  /**
   * @param lifetime - a process of an upstream
   * @returns what it said last; undefined when it never named a limit
   */
  get(lifetime: UpstreamLifetime): AdvertisedLimit | undefined {
    const word = this.#limits.get(lifetime.id);
    return word === undefined || startedLater(lifetime, word.lifetime) ? undefined : word;
  }

  /** Whether no upstream has ever named a limit. */
  get isEmpty(): boolean {
    return this.#limits.size === 0;
  }

  /** Words by which a limit is in force. */
  get activeLimits(): readonly AdvertisedLimit[] {
    return [...this.#limits.values()].filter((word) => word.requestsPerSecond !== null);
  }

  #deleteExpired(): void {
    if (this.#limits.size <= MAX_COUNT_BEFORE_CLEANUP) {
      return;
    }
    const lapsedMs = this.#clock.getMonotonicMs() - LIMIT_TTL_MS;
    this.#limits.forEach(({ receivedAtMs: heardAtMs }, id) => {
      if (heardAtMs <= lapsedMs) {
        this.#limits.delete(id);
      }
    });
  }
}
