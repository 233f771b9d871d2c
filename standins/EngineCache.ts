import { getTextDigest } from './getStandinText.ts';

const PREFIX_UNITS = 64;
const MAX_PREFIXES = 256;
const MAX_EVENTS = 1024;
/** One event of this many is lost. */
const LOST_EVENT_PERIOD = 7;

/** A change of an engine's prefix cache. */
export interface CacheEvent {
  /** Increases by one with each event; a gap shows that an event was lost. */
  readonly sequence: number;
  readonly kind: 'added' | 'evicted';
  /** SHA-256 of the prompt's first 64 UTF-16 code units, hexadecimal. */
  readonly prefixDigest: string;
}

/** An exported prefix. */
export interface CachedPrefix {
  readonly prefixDigest: string;
  /** Opaque except to engines of the same model. */
  readonly content: string;
}

/** Prefix cache of an engine, with events that are delayed and incomplete. */
export class EngineCache {
  readonly #lagMs: number;

  readonly #contents = new Map<string, string>();

  #events: (CacheEvent & { readonly visibleAtMs: number })[] = [];

  #sequence = 0;

  /**
   * @param lagMs - delay before an event is published
   */
  constructor(lagMs: number) {
    this.#lagMs = lagMs;
  }

  /**
   * Looks up a prompt's prefix and adds it to the cache.
   *
   * @param prompt - the prompt
   * @returns whether the prefix was already cached
   */
  use(prompt: string): boolean {
    const prefix = prompt.slice(0, PREFIX_UNITS);
    const prefixDigest = getTextDigest(prefix);
    const isHit = this.#contents.has(prefixDigest);
    this.add({ prefixDigest, content: prefix });
    return isHit;
  }

  /**
   * Caches a prefix; evicts the least recently used prefix if the cache is full.
   *
   * @param prefix - a prefix of this engine or an imported one
   */
  add(prefix: CachedPrefix): void {
    if (!this.#contents.delete(prefix.prefixDigest)) {
      this.#publish('added', prefix.prefixDigest);
    }
    this.#contents.set(prefix.prefixDigest, prefix.content);
    const [oldest] = this.#contents.keys();
    if (this.#contents.size > MAX_PREFIXES && oldest !== undefined) {
      this.#contents.delete(oldest);
      this.#publish('evicted', oldest);
    }
  }

  /**
   * @param prefixDigest - digest of the prefix to export
   * @returns the prefix; null if it is not cached
   */
  get(prefixDigest: string): CachedPrefix | null {
    const content = this.#contents.get(prefixDigest);
    return content === undefined ? null : { prefixDigest, content };
  }

  /**
   * @param afterSequence - the last event that the reader has
   * @returns the later events that are already published
   */
  readEvents(afterSequence: number): CacheEvent[] {
    const nowMs = performance.now();
    return this.#events
      .filter((event) => event.sequence > afterSequence && event.visibleAtMs <= nowMs)
      .map(({ sequence, kind, prefixDigest }) => ({ sequence, kind, prefixDigest }));
  }

  /** Clears the cache, as a crash does. */
  clear(): void {
    this.#contents.clear();
    this.#events = [];
  }

  #publish(kind: CacheEvent['kind'], prefixDigest: string): void {
    this.#sequence += 1;
    if (this.#sequence % LOST_EVENT_PERIOD === 0) {
      return;
    }
    const visibleAtMs = performance.now() + this.#lagMs;
    this.#events.push({
      sequence: this.#sequence, kind, prefixDigest, visibleAtMs,
    });
    this.#events = this.#events.slice(-MAX_EVENTS);
  }
}
