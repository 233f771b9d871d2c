import { setTimeout as sleep } from 'node:timers/promises';
import type { StoreCopy } from '../../standins/store/StoreState.ts';
import type { StoreStandin } from '../../standins/store/StoreStandin.ts';

const COPY_EVERY_MS = 500;
/** Number of copies that are kept, and so the age of the oldest. */
const MAX_COPIES = 18;
/** Time after the store's return within which operators and upstreams write again. */
const REWRITE_MS = 2_000;
/** Time after which the entry of an upstream that has ended expires. */
const STALE_ENTRY_MS = 4_000;

/** Lets the store come back from older copies; what others than hosts wrote is written again. */
export class StoreCopyFault {
  readonly #store: StoreStandin;

  readonly #copies: StoreCopy[] = [];

  /** The newest values that the operator and the upstreams wrote; null for removed keys. */
  readonly #values = new Map<string, unknown>();

  #timer: NodeJS.Timeout | null = null;

  #isAway = false;

  /**
   * @param store - the store
   */
  constructor(store: StoreStandin) {
    this.#store = store;
  }

  /** Starts to take copies. */
  start(): void {
    this.#timer = setInterval(() => {
      this.#copies.push(this.#store.state.createCopy());
      this.#copies.splice(0, this.#copies.length - MAX_COPIES);
    }, COPY_EVERY_MS);
  }

  /** Stops taking copies. */
  stop(): void {
    clearInterval(this.#timer ?? undefined);
  }

  /**
   * @param key - key that an operator or an upstream writes
   * @param value - its value
   */
  put(key: string, value: unknown): void {
    this.#values.set(key, value);
    if (!this.#isAway) {
      this.#store.put(key, value);
    }
  }

  /** @param key - key that an operator or an upstream removes */
  remove(key: string): void {
    this.#values.set(key, null);
    if (!this.#isAway) {
      this.#store.remove(key);
    }
  }

  /**
   * Takes the store away for a moment and brings it back from an older copy.
   *
   * @param copyNumber - number whose remainder selects the copy
   * @param durationMs - time for which the store is away
   */
  async inject(copyNumber: number, durationMs: number): Promise<void> {
    const copy = this.#copies[copyNumber % Math.max(1, this.#copies.length)];
    if (this.#isAway || copy === undefined) {
      return;
    }
    this.#isAway = true;
    this.#store.fault = { kind: 'down' };
    await sleep(durationMs);
    this.#store.state.restore(copy);
    this.#store.fault = { kind: 'none' };
    this.#isAway = false;
    await this.#writeAgain();
  }

  async #writeAgain(): Promise<void> {
    const { era } = this.#store.state;
    await Promise.all([...this.#values.keys()].map(async (key, index, keys) => {
      const isRemoved = this.#values.get(key) === null;
      await sleep(((index + 1) / keys.length) * (isRemoved ? STALE_ENTRY_MS : REWRITE_MS));
      if (this.#store.state.era !== era) {
        return;
      }
      const value = this.#values.get(key);
      if (value !== null) {
        this.#store.put(key, value);
      } else if (this.#store.state.get(key) !== undefined) {
        this.#store.remove(key);
      }
    }));
  }
}
