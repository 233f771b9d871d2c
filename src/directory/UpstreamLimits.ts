import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamLifetime } from './UpstreamEntry.ts';

/** What a process of an upstream has said of its limit, and when. */
export interface LimitWord {
  readonly lifetime: UpstreamLifetime;
  /** Requests a second that it takes from all hosts together; null when it names no limit. */
  readonly requestsPerSecond: number | null;
  /** Monotonic time before which it can't have been said: the request was sent then. */
  readonly askedAtMs: number;
  /** Monotonic time by which it was said: the answer was read then. */
  readonly heardAtMs: number;
}

/** Words that are kept before those of long ago are looked for. */
const MAX_WORD_COUNT = 1_024;
/** How long a word is kept when the upstream says nothing more. */
const WORD_TTL_MS = 900_000;

function isOfLaterStart(word: UpstreamLifetime, known: UpstreamLifetime): boolean {
  return word.startedAtMs !== null
    && known.startedAtMs !== null
    && word.startedAtMs > known.startedAtMs;
}

function getStrictness({ requestsPerSecond }: LimitWord): number {
  return -(requestsPerSecond ?? Infinity);
}

/** Whether a word takes the place of the one that is known of the same upstream. */
function isSuperseding(word: LimitWord, known: LimitWord): boolean {
  if (isOfLaterStart(known.lifetime, word.lifetime)) {
    return false;
  }
  if (isOfLaterStart(word.lifetime, known.lifetime) || word.askedAtMs >= known.heardAtMs) {
    return true;
  }
  const isSurelyOlder = word.heardAtMs <= known.askedAtMs;
  const strictness = getStrictness(word) - getStrictness(known);
  return !isSurelyOlder
    && (strictness > 0 || (strictness === 0 && word.heardAtMs > known.heardAtMs));
}

/**
 * The limits that upstreams name, by the newest word of each.
 *
 * Answers overtake one another. Of two words neither of which is surely the later one the stricter
 * holds; a looser one counts from an answer whose request was sent after the stricter was heard.
 */
export class UpstreamLimits {
  readonly #clock: Clock;

  readonly #words = new Map<UpstreamId, LimitWord>();

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
  note(word: LimitWord): boolean {
    const { id } = word.lifetime;
    const known = this.#words.get(id);
    // That an upstream still names none is no news.
    const isNews = word.requestsPerSecond !== null || this.get(word.lifetime) !== null;
    if (!isNews || (known !== undefined && !isSuperseding(word, known))) {
      return false;
    }
    this.#words.set(id, word);
    this.#forgetLapsed();
    return word.requestsPerSecond !== (known?.requestsPerSecond ?? null);
  }

  /**
   * @param lifetime - a process of an upstream
   * @returns requests a second that it takes from all hosts together; null when it names no limit
   */
  get(lifetime: UpstreamLifetime): number | null {
    return this.getWord(lifetime)?.requestsPerSecond ?? null;
  }

  /**
   * @param lifetime - a process of an upstream
   * @returns what it said last; undefined when it never named a limit
   */
  getWord(lifetime: UpstreamLifetime): LimitWord | undefined {
    const word = this.#words.get(lifetime.id);
    return word === undefined || isOfLaterStart(lifetime, word.lifetime) ? undefined : word;
  }

  /** Whether no upstream has ever named a limit. */
  get isEmpty(): boolean {
    return this.#words.size === 0;
  }

  /** Words by which a limit is in force. */
  get inForce(): readonly LimitWord[] {
    return [...this.#words.values()].filter((word) => word.requestsPerSecond !== null);
  }

  #forgetLapsed(): void {
    if (this.#words.size <= MAX_WORD_COUNT) {
      return;
    }
    const lapsedMs = this.#clock.getMonotonicMs() - WORD_TTL_MS;
    this.#words.forEach(({ heardAtMs }, id) => {
      if (heardAtMs <= lapsedMs) {
        this.#words.delete(id);
      }
    });
  }
}
