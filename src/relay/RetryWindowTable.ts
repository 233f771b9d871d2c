import type { PoolId } from '../lib/ids.ts';
import { RetryWindow, type RetryWindowOptions } from '../retries/RetryWindow.ts';

/** This host's part of the bounds on repeats, for each pool by itself. */
export class RetryWindowTable {
  readonly #options: RetryWindowOptions;

  readonly #windows = new Map<PoolId, RetryWindow>();

  /**
   * @param options - of the window of each pool
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
