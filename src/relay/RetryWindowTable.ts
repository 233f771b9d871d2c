import type { PoolId } from '../lib/ids.ts';
import { RepeatWindow, type RepeatWindowOptions } from '../retries/RepeatWindow.ts';

/** Keeps one retry window for each pool, with this host's share of the retry limit. */
export class RetryWindowTable {
  readonly #options: RepeatWindowOptions;

  readonly #windows = new Map<PoolId, RepeatWindow>();

  /**
   * @param options - options of every window
   */
  constructor(options: RepeatWindowOptions) {
    this.#options = options;
  }

  /**
   * @param poolId - a pool
   * @returns its window
   */
  get(poolId: PoolId): RepeatWindow {
    const known = this.#windows.get(poolId);
    if (known !== undefined) {
      return known;
    }
    const window = new RepeatWindow(this.#options);
    this.#windows.set(poolId, window);
    return window;
  }
}
