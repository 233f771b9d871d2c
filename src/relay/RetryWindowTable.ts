import type { PoolId } from '../lib/ids.ts';
import { RetryWindow, type RetryWindowOptions } from '../retries/RetryWindow.ts';

/** Keeps one retry window for each pool, with this host's share of the retry limit. */
export class RetryWindowTable {
  readonly #options: RetryWindowOptions;

  readonly #windows = new Map<PoolId, RetryWindow>();

  /**
   * @param options - options of every window
   */
  constructor(options: RetryWindowOptions) {
    this.#options = options;
  }

  /**
   * @param poolId - a pool
   * @returns its window
   */
  get(poolId: PoolId): RetryWindow {
    const known = this.#windows.get(poolId);
    if (known !== undefined) {
      return known;
    }
    const window = new RetryWindow(this.#options);
    this.#windows.set(poolId, window);
    return window;
  }
}
