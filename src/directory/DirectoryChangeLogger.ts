import type { Logger } from 'pino';
import type { DirectoryChange } from './DirectoryChange.ts';

/** Changes in one line; a whole directory takes several lines. */
const MAX_CHANGES_PER_LINE = 64;

/**
 * Logs changes of the directory. Changes that are applied together, such as those of one answer of
 * the store, share lines: each line costs processor time, and a host gets hundreds of changes when
 * it starts.
 */
export class DirectoryChangeLogger {
  readonly #logger: Logger;

  #changes: DirectoryChange[] = [];

  /**
   * @param logger - receives the lines
   */
  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** @param change - a change that was just applied */
  add(change: DirectoryChange): void {
    this.#changes.push(change);
    if (this.#changes.length === 1) {
      queueMicrotask(() => this.#flush());
    } else if (this.#changes.length === MAX_CHANGES_PER_LINE) {
      this.#flush();
    }
  }

  #flush(): void {
    if (this.#changes.length > 0) {
      this.#logger.info({ event: 'directoryChanged', changes: this.#changes }, 'directory changed');
      this.#changes = [];
    }
  }
}
