import type { Logger } from 'pino';
import type { Directory } from './Directory.ts';
import type { DirectoryStore } from './DirectoryStore.ts';

/** How the directory is kept up to date. */
export interface DirectoryFollowerOptions {
  /** How long one wait for changes lasts; a silent connection goes unnoticed for so long. */
  readonly waitMs: number;
  /** First pause after a failed call. */
  readonly minPauseMs: number;
  /** Longest pause between failed calls. */
  readonly maxPauseMs: number;
}

/** Defaults of {@link DirectoryFollowerOptions}. */
export const DEFAULT_DIRECTORY_FOLLOWER_OPTIONS: DirectoryFollowerOptions = {
  waitMs: 2_000,
  minPauseMs: 50,
  maxPauseMs: 400,
};

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

/** Reads the store once and then follows its changes, for as long as the process runs. */
export class DirectoryFollower {
  readonly #store: DirectoryStore;

  readonly #directory: Directory;

  readonly #options: DirectoryFollowerOptions;

  readonly #logger: Logger;

  #revision: number | null = null;

  #isStopped = false;

  #hasContact = true;

  #hasRead = false;

  /**
   * @param store - what is followed
   * @param directory - what is kept up to date
   * @param logger - gets a line when the store is lost and when it is back
   * @param options - waits and pauses
   */
  constructor(
    store: DirectoryStore,
    directory: Directory,
    logger: Logger,
    options: DirectoryFollowerOptions = DEFAULT_DIRECTORY_FOLLOWER_OPTIONS,
  ) {
    this.#store = store;
    this.#directory = directory;
    this.#logger = logger;
    this.#options = options;
  }

  /** Whether the store has been read at least once. */
  get hasRead(): boolean {
    return this.#hasRead;
  }

  /** Whether the last call to the store was answered. */
  get hasContact(): boolean {
    return this.#hasContact;
  }

  /** Follows until stopped. */
  async run(): Promise<void> {
    let pauseMs = this.#options.minPauseMs;
    while (!this.#isStopped) {
      try {
        // eslint-disable-next-line no-await-in-loop -- each wait goes on from the one before
        await this.#step();
        this.#noteContact();
        pauseMs = this.#options.minPauseMs;
      } catch (error) {
        this.#noteLoss(error);
        // eslint-disable-next-line no-await-in-loop -- the pause is the point
        await pause(pauseMs * (0.5 + Math.random() / 2));
        pauseMs = Math.min(pauseMs * 2, this.#options.maxPauseMs);
      }
    }
  }

  /** Ends the loop after the call that is out. */
  stop(): void {
    this.#isStopped = true;
  }

  /** Reads everything anew at the next step; for a process that has stood still. */
  forgetRevision(): void {
    this.#revision = null;
  }

  async #step(): Promise<void> {
    if (this.#revision === null) {
      const snapshot = await this.#store.readAll();
      this.#directory.applySnapshot(snapshot);
      this.#revision = snapshot.revision;
      this.#hasRead = true;
      this.#logger.info({
        event: 'directoryRead',
        revision: snapshot.revision,
        entryCount: snapshot.changes.length,
        version: this.#directory.configuration?.version ?? null,
      }, 'read the whole directory');
      return;
    }
    const startRevision = this.#revision;
    const result = await this.#store.follow(startRevision, this.#options.waitMs);
    if (this.#revision !== startRevision) {
      return;
    }
    if (result.kind === 'historyLost') {
      this.#logger.warn(
        { event: 'directoryHistoryLost', revision: startRevision },
        'the store has dropped the history that follows this revision; reading everything',
      );
      this.#revision = null;
      return;
    }
    result.changes.forEach((change) => this.#directory.apply(change));
    this.#revision = result.revision;
  }

  #noteContact(): void {
    if (!this.#hasContact) {
      this.#hasContact = true;
      this.#logger.info({ event: 'storeRegained', revision: this.#revision }, 'the store answers');
    }
  }

  #noteLoss(error: unknown): void {
    if (this.#hasContact) {
      this.#hasContact = false;
      this.#logger.warn(
        { event: 'storeLost', revision: this.#revision, error: String(error) },
        'the store gives no answer; serving with what is known',
      );
    }
  }
}
