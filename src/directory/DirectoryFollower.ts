import { setTimeout as pauseFor } from 'node:timers/promises';
import type { Logger } from 'pino';
import { Backoff } from '../configuration/Backoff.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { Clock } from '../time/Clock.ts';
import { ChangeLog } from './ChangeLog.ts';
import type { Directory } from './Directory.ts';
import type { DirectoryChange } from './DirectoryChange.ts';
import type { DirectoryPeers } from './DirectoryPeers.ts';
import type { DirectoryReaders } from './DirectoryReaders.ts';
import type { KnownHost } from './HostEntry.ts';
import type { DirectoryStore } from './DirectoryStore.ts';

/** How the directory is kept up to date. */
export interface DirectoryFollowerOptions {
  /** How long one wait for changes lasts; a silent connection goes unnoticed for so long. */
  readonly waitMs: number;
  /**
   * Unit of the waits where hosts follow one another, a quarter of the time in which a change has
   * to be in force. Null where every host follows the store.
   */
  readonly relayWaitMs: number | null;
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
  relayWaitMs: null,
  settlePerHostMs: 10,
  maxSettleMs: 800,
  minPauseMs: 50,
  maxPauseMs: 1_000,
};

/** How new what a host has from the store is. */
export interface DirectoryFreshness {
  /** How long ago the store answered. */
  readonly ageMs: number;
  /** How much longer others may follow, if the store does not answer again. */
  readonly lapsesInMs: number;
}

/** What a follower is made of. */
export interface DirectoryFollowerParts {
  readonly clock: Clock;
  /** What is followed. */
  readonly store: DirectoryStore;
  /** What is kept up to date. */
  readonly directory: Directory;
  /** Gets a line when the store is lost and when it is back. */
  readonly logger: Logger;
  /** For the jitter of pauses. */
  readonly random: RandomSource;
  /** Which hosts read the store for others; left out where every host follows it. */
  readonly readers?: DirectoryReaders;
  /** Asks other hosts; left out with them. */
  readonly peers?: DirectoryPeers;
  /** Waits; replaced in tests. */
  readonly pause?: (durationMs: number) => Promise<void>;
}

/** Wait of a reader at the store, in relay waits. */
const READER_WAIT_FACTOR = 2;
/** Pause of a reader after changes, in relay waits. */
const READER_SETTLE_PART = 0.5;
/** A reader has lost the store that is silent for longer than a wait, a pause and this. */
const FRESH_SLACK_MS = 400;

/**
 * Reads the store once and then follows its changes, for as long as the process runs. In a large
 * fleet most hosts follow a reader in their failure domain instead, and turn to the store whenever
 * that reader is silent, has lost the store, or lacks a revision.
 */
export class DirectoryFollower {
  readonly #parts: DirectoryFollowerParts;

  readonly #options: DirectoryFollowerOptions;

  readonly #backoff: Backoff;

  readonly #pause: (durationMs: number) => Promise<void>;

  /** What others may follow. */
  readonly changeLog = new ChangeLog();

  #revision: number | null = null;

  /** When the store itself answered last; null before. */
  #storeAnsweredAtMs: number | null = null;

  /** Whether the next step asks the store for what a reader did not give. */
  #mustCatchUp = false;

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

  /** How others may follow this host now; null when it has lost the store, or never follows it. */
  get freshness(): DirectoryFreshness | null {
    const { relayWaitMs } = this.#options;
    if (this.#storeAnsweredAtMs === null || relayWaitMs === null) {
      return null;
    }
    const ageMs = this.#parts.clock.getMonotonicMs() - this.#storeAnsweredAtMs;
    const maxAgeMs = relayWaitMs * (READER_WAIT_FACTOR + READER_SETTLE_PART) + FRESH_SLACK_MS;
    return ageMs <= maxAgeMs ? { ageMs, lapsesInMs: maxAgeMs - ageMs } : null;
  }

  /** Follows until stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const startedAtMs = this.#parts.clock.getMonotonicMs();
      try {
        // eslint-disable-next-line no-await-in-loop -- each wait goes on from the one before
        const settleMs = await this.#step();
        if (settleMs > 0) {
          // eslint-disable-next-line no-await-in-loop -- the pause is the point
          await this.#pause(settleMs);
        }
      } catch (error) {
        // What a silent wait missed is asked for at once. When the store does not give it either, a
        // reader may still have it.
        this.#mustCatchUp = !this.#mustCatchUp;
        this.#noteLoss(error);
        // eslint-disable-next-line no-await-in-loop -- the pause is the point
        await this.#pause(this.#getFailurePauseMs(startedAtMs));
      }
    }
  }

  /** Ends the loop after the call that is out. */
  stop(): void {
    this.#isStopped = true;
    this.changeLog.close();
  }

  /** Reads everything anew at the next step; for a process that has stood still. */
  forgetRevision(): void {
    this.#revision = null;
  }

  /** A call that failed late has been the pause already; what it missed is asked for at once. */
  #getFailurePauseMs(startedAtMs: number): number {
    const elapsedMs = this.#parts.clock.getMonotonicMs() - startedAtMs;
    return Math.max(this.#options.minPauseMs, this.#backoff.getNextDelayMs() - elapsedMs);
  }

  #getSettleMs(): number {
    const { settlePerHostMs, maxSettleMs, relayWaitMs } = this.#options;
    return this.#isReader && relayWaitMs !== null
      ? relayWaitMs * READER_SETTLE_PART
      : Math.min(maxSettleMs, settlePerHostMs * this.#parts.directory.hosts.size);
  }

  get #isReader(): boolean {
    return this.#options.relayWaitMs !== null && this.#parts.readers?.isReader === true;
  }

  /** @returns how long changes should settle before the next step */
  async #step(): Promise<number> {
    if (this.#revision === null) {
      await this.#readAll();
      return 0;
    }
    const { readers, peers } = this.#parts;
    const { relayWaitMs } = this.#options;
    const reader = relayWaitMs === null || this.#mustCatchUp ? null : readers?.choose() ?? null;
    if (reader === null || peers === undefined || relayWaitMs === null) {
      return this.#followStore(this.#revision);
    }
    await this.#followReader(peers, reader, this.#revision, relayWaitMs);
    return 0;
  }

  async #readAll(): Promise<void> {
    const snapshot = await this.#parts.store.readAll();
    this.#parts.directory.applySnapshot(snapshot);
    this.#revision = snapshot.revision;
    this.changeLog.reset(snapshot.revision);
    this.#hasRead = true;
    this.#noteStoreAnswer();
    this.#parts.logger.info({
      event: 'directoryRead',
      revision: snapshot.revision,
      entryCount: snapshot.changes.length,
      version: this.#parts.directory.configuration?.version ?? null,
    }, 'read the whole directory');
  }

  async #followStore(startRevision: number): Promise<number> {
    const { store } = this.#parts;
    const result = await store.follow(startRevision, this.#getStoreWaitMs());
    this.#mustCatchUp = false;
    if (this.#revision !== startRevision) {
      return 0;
    }
    if (result.kind === 'historyLost') {
      this.#parts.logger.warn(
        { event: 'directoryHistoryLost', revision: startRevision },
        'the store has dropped the history that follows this revision; reading everything',
      );
      this.#revision = null;
      return 0;
    }
    const hasChanges = result.changes.length > 0;
    this.#apply(result.changes, result.revision);
    this.changeLog.append(startRevision, result.revision, hasChanges ? result.payload : null);
    this.#noteStoreAnswer();
    return hasChanges ? this.#getSettleMs() : 0;
  }

  #getStoreWaitMs(): number {
    if (this.#mustCatchUp) {
      return 0;
    }
    const { waitMs, relayWaitMs } = this.#options;
    return this.#isReader && relayWaitMs !== null
      ? Math.min(waitMs, relayWaitMs * READER_WAIT_FACTOR)
      : waitMs;
  }

  async #followReader(
    peers: DirectoryPeers,
    reader: KnownHost,
    startRevision: number,
    waitMs: number,
  ): Promise<void> {
    const { store, directory, readers } = this.#parts;
    try {
      const answer = await peers.follow(reader, startRevision, waitMs);
      if (this.#revision !== startRevision) {
        return;
      }
      if (answer.kind === 'gap') {
        this.#mustCatchUp = true;
        return;
      }
      const changes = answer.payloads.flatMap((payload) => store.decodeChanges(payload));
      this.#apply(changes, answer.revision);
      directory.noteConfirmed(answer.ageMs);
    } catch (error) {
      readers?.noteFailure(reader, String(error));
      this.#mustCatchUp = true;
    }
  }

  /** Revisions only grow, whoever tells of them. */
  #apply(changes: readonly DirectoryChange[], revision: number): void {
    changes.forEach((change) => this.#parts.directory.apply(change));
    this.#revision = Math.max(this.#revision ?? 0, revision);
  }

  #noteStoreAnswer(): void {
    this.#storeAnsweredAtMs = this.#parts.clock.getMonotonicMs();
    this.#parts.directory.noteConfirmed();
    this.#noteContact();
    this.#backoff.reset();
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
