import { setTimeout as pauseFor } from 'node:timers/promises';
import type { Logger } from 'pino';
import { Backoff } from '../configuration/Backoff.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { Directory } from './Directory.ts';
import type { DirectoryStore } from './DirectoryStore.ts';

/** How the directory is kept up to date. */
export interface DirectoryFollowerOptions {
  /** How long one wait for changes lasts; a silent connection goes unnoticed for so long. */
  readonly waitMs: number;
  /**
   * Pause after changes for each host there is, so that those which come together cost one call:
   * every change costs a call of every host.
   */
  readonly settlePerHostMs: number;
  /** Longest such pause. */
  readonly maxSettleMs: number;
  /** First pause after a failed call. */
  readonly minPauseMs: number;
  /** Longest pause between failed calls, before jitter. */
  readonly maxPauseMs: number;
}

/** Defaults of {@link DirectoryFollowerOptions}. */
export const DEFAULT_DIRECTORY_FOLLOWER_OPTIONS: DirectoryFollowerOptions = {
  waitMs: 2_000,
  settlePerHostMs: 10,
  maxSettleMs: 800,
  minPauseMs: 50,
  maxPauseMs: 300,
};

/** What a follower is made of. */
export interface DirectoryFollowerParts {
  /** What is followed. */
  readonly store: DirectoryStore;
  /** What is kept up to date. */
  readonly directory: Directory;
  /** Gets a line when the store is lost and when it is back. */
  readonly logger: Logger;
  /** For the jitter of pauses. */
  readonly random: RandomSource;
  /** Waits; replaced in tests. */
  readonly pause?: (durationMs: number) => Promise<void>;
}

/** Reads the store once and then follows its changes, for as long as the process runs. */
export class DirectoryFollower {
  readonly #parts: DirectoryFollowerParts;

  readonly #options: DirectoryFollowerOptions;

  readonly #backoff: Backoff;

  readonly #pause: (durationMs: number) => Promise<void>;

  #revision: number | null = null;

  #isStopped = false;

  #hasContact = true;

  #hasRead = false;

  /**
   * @param parts - see {@link DirectoryFollowerParts}
   * @param options - what differs from the defaults
   */
  constructor(parts: DirectoryFollowerParts, options: Partial<DirectoryFollowerOptions> = {}) {
    this.#parts = parts;
    this.#options = { ...DEFAULT_DIRECTORY_FOLLOWER_OPTIONS, ...options };
    this.#backoff = new Backoff(parts.random, {
      minDelayMs: this.#options.minPauseMs, maxDelayMs: this.#options.maxPauseMs,
    });
    this.#pause = parts.pause ?? ((durationMs) => pauseFor(durationMs));
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
    while (!this.#isStopped) {
      try {
        // eslint-disable-next-line no-await-in-loop -- each wait goes on from the one before
        const hasChanged = await this.#step();
        this.#parts.directory.noteConfirmed();
        this.#noteContact();
        this.#backoff.reset();
        if (hasChanged) {
          // eslint-disable-next-line no-await-in-loop -- the pause is the point
          await this.#pause(this.#getSettleMs());
        }
      } catch (error) {
        this.#noteLoss(error);
        // eslint-disable-next-line no-await-in-loop -- the pause is the point
        await this.#pause(this.#backoff.getNextDelayMs());
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

  #getSettleMs(): number {
    const { settlePerHostMs, maxSettleMs } = this.#options;
    return Math.min(maxSettleMs, settlePerHostMs * this.#parts.directory.hosts.size);
  }

  /** @returns whether the store had changes */
  async #step(): Promise<boolean> {
    if (this.#revision === null) {
      const snapshot = await this.#parts.store.readAll();
      this.#parts.directory.applySnapshot(snapshot);
      this.#revision = snapshot.revision;
      this.#hasRead = true;
      this.#parts.logger.info({
        event: 'directoryRead',
        revision: snapshot.revision,
        entryCount: snapshot.changes.length,
        version: this.#parts.directory.configuration?.version ?? null,
      }, 'read the whole directory');
      return false;
    }
    const startRevision = this.#revision;
    const { store, directory } = this.#parts;
    const result = await store.follow(startRevision, this.#options.waitMs);
    if (this.#revision !== startRevision) {
      return false;
    }
    if (result.kind === 'historyLost') {
      this.#parts.logger.warn(
        { event: 'directoryHistoryLost', revision: startRevision },
        'the store has dropped the history that follows this revision; reading everything',
      );
      this.#revision = null;
      return false;
    }
    result.changes.forEach((change) => directory.apply(change));
    this.#revision = result.revision;
    return result.changes.length > 0;
  }

  #noteContact(): void {
    if (!this.#hasContact) {
      this.#hasContact = true;
      this.#parts.logger.info(
        { event: 'storeRegained', revision: this.#revision },
        'the store answers',
      );
    }
  }

  #noteLoss(error: unknown): void {
    if (this.#hasContact) {
      this.#hasContact = false;
      this.#parts.logger.warn(
        { event: 'storeLost', revision: this.#revision, error: String(error) },
        'the store gives no answer; serving with what is known',
      );
    }
  }
}
