import { setTimeout as pauseFor } from 'node:timers/promises';
import type { Logger } from 'pino';
import { Backoff } from '../configuration/Backoff.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { Clock } from '../time/Clock.ts';
import { ChangeLog } from './ChangeLog.ts';
import type { Directory } from './Directory.ts';
import type { DirectoryChange } from './DirectoryChange.ts';
import type { DirectoryPeers } from './DirectoryPeers.ts';
import type { DirectoryReaderSelector } from './DirectoryReaderSelector.ts';
import type { KnownHost } from './HostEntry.ts';
import type { DirectoryStore } from './DirectoryStore.ts';

/** How the directory is kept up to date. */
export interface DirectoryFollowerTimings {
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

/** Defaults of {@link DirectoryFollowerTimings}. */
export const DEFAULT_DIRECTORY_FOLLOWER_TIMINGS: DirectoryFollowerTimings = {
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
  readonly expiresInMs: number;
}

/** What a follower is made of. */
export interface DirectoryFollowerOptions {
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
  readonly readerSelector?: DirectoryReaderSelector;
  /** Asks other hosts; left out with them. */
  readonly peers?: DirectoryPeers;
  /** Waits; replaced in tests. */
  readonly pause?: (durationMs: number) => Promise<void>;
}

/** Wait of a reader at the store, in relay waits. */
const READER_WAIT_FACTOR = 2;
/** Pause of a reader after changes, in relay waits. */
const READER_SETTLE_FACTOR = 0.5;
/** A reader has lost the store that is silent for longer than a wait, a pause and this. */
const FRESHNESS_SLACK_MS = 400;

/**
 * Reads the store once and then follows its changes, for as long as the process runs. In a large
 * fleet most hosts follow a reader in their failure domain instead, and turn to the store whenever
 * that reader is silent, has lost the store, or lacks a revision.
 */
export class DirectoryFollower {
  readonly #options: DirectoryFollowerOptions;

  readonly #timings: DirectoryFollowerTimings;

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
   * @param parts - see {@link DirectoryFollowerOptions}
   * @param options - what differs from the defaults
   */
  constructor(parts: DirectoryFollowerOptions, options: Partial<DirectoryFollowerTimings> = {}) {
    this.#options = parts;
    this.#timings = { ...DEFAULT_DIRECTORY_FOLLOWER_TIMINGS, ...options };
    this.#backoff = new Backoff(parts.random, {
      minDelayMs: this.#timings.minPauseMs, maxDelayMs: this.#timings.maxPauseMs,
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
    const { relayWaitMs } = this.#timings;
    if (this.#storeAnsweredAtMs === null || relayWaitMs === null) {
      return null;
    }
    const ageMs = this.#options.clock.getMonotonicMs() - this.#storeAnsweredAtMs;
    const maxAgeMs = relayWaitMs * (READER_WAIT_FACTOR + READER_SETTLE_FACTOR) + FRESHNESS_SLACK_MS;
    return ageMs <= maxAgeMs ? { ageMs, expiresInMs: maxAgeMs - ageMs } : null;
  }

  /** Follows until stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const startedAtMs = this.#options.clock.getMonotonicMs();
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
        this.#recordLoss(error);
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
  requestFullRead(): void {
    this.#revision = null;
  }

  /** A call that failed late has been the pause already; what it missed is asked for at once. */
  #getFailurePauseMs(startedAtMs: number): number {
    const elapsedMs = this.#options.clock.getMonotonicMs() - startedAtMs;
    return Math.max(this.#timings.minPauseMs, this.#backoff.getNextDelayMs() - elapsedMs);
  }

  #getSettleMs(): number {
    const { settlePerHostMs, maxSettleMs, relayWaitMs } = this.#timings;
    return this.#isReader && relayWaitMs !== null
      ? relayWaitMs * READER_SETTLE_FACTOR
      : Math.min(maxSettleMs, settlePerHostMs * this.#options.directory.hosts.size);
  }

  get #isReader(): boolean {
    return this.#timings.relayWaitMs !== null && this.#options.readerSelector?.isReader === true;
  }

  /** @returns how long changes should settle before the next step */
  async #step(): Promise<number> {
    if (this.#revision === null) {
      await this.#readAll();
      return 0;
    }
    const { readerSelector: readers, peers } = this.#options;
    const { relayWaitMs } = this.#timings;
    const reader = relayWaitMs === null || this.#mustCatchUp ? null : readers?.chooseReader() ?? null;
    if (reader === null || peers === undefined || relayWaitMs === null) {
      return this.#followStore(this.#revision);
    }
    await this.#followReader(peers, reader, this.#revision, relayWaitMs);
    return 0;
  }

  async #readAll(): Promise<void> {
    const snapshot = await this.#options.store.readAll();
    this.#options.directory.applySnapshot(snapshot);
    this.#revision = snapshot.revision;
    this.changeLog.reset(snapshot.revision);
    this.#hasRead = true;
    this.#recordStoreAnswer();
    this.#options.logger.info({
      event: 'directoryRead',
      revision: snapshot.revision,
      entryCount: snapshot.changes.length,
      version: this.#options.directory.configuration?.version ?? null,
    }, 'read the whole directory');
  }

  async #followStore(startRevision: number): Promise<number> {
    const { store } = this.#options;
    const result = await store.follow(startRevision, this.#getStoreWaitMs());
    this.#mustCatchUp = false;
    if (this.#revision !== startRevision) {
      return 0;
    }
    if (result.kind === 'historyLost') {
      this.#options.logger.warn(
        { event: 'directoryHistoryLost', revision: startRevision },
        'the store has dropped the history that follows this revision; reading everything',
      );
      this.#revision = null;
      return 0;
    }
    const hasChanges = result.changes.length > 0;
    this.#apply(result.changes, result.revision);
    this.changeLog.append(startRevision, result.revision, hasChanges ? result.payload : null);
    this.#recordStoreAnswer();
    return hasChanges ? this.#getSettleMs() : 0;
  }

  #getStoreWaitMs(): number {
    if (this.#mustCatchUp) {
      return 0;
    }
    const { waitMs, relayWaitMs } = this.#timings;
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
    const { store, directory, readerSelector: readers } = this.#options;
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
      directory.recordConfirmation(answer.ageMs);
    } catch (error) {
      readers?.recordFailure(reader, String(error));
      this.#mustCatchUp = true;
    }
  }

  /** Revisions only grow, whoever tells of them. */
  #apply(changes: readonly DirectoryChange[], revision: number): void {
    changes.forEach((change) => this.#options.directory.apply(change));
    this.#revision = Math.max(this.#revision ?? 0, revision);
  }

  #recordStoreAnswer(): void {
    this.#storeAnsweredAtMs = this.#options.clock.getMonotonicMs();
    this.#options.directory.recordConfirmation();
    this.#recordContact();
    this.#backoff.reset();
  }

  #recordContact(): void {
    if (!this.#hasContact) {
      this.#hasContact = true;
      this.#options.logger.info(
        { event: 'storeRegained', revision: this.#revision },
        'the store answers',
      );
    }
  }

  #recordLoss(error: unknown): void {
    if (this.#hasContact) {
      this.#hasContact = false;
      this.#options.logger.warn(
        { event: 'storeLost', revision: this.#revision, error: String(error) },
        'the store gives no answer; serving with what is known',
      );
    }
  }
}
