import { setTimeout as pauseFor } from 'node:timers/promises';
import type { Logger } from 'pino';
import { Backoff } from '../configuration/Backoff.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { Clock } from '../time/Clock.ts';
import { ChangeLog } from './ChangeLog.ts';
import type { Directory, SnapshotDifference } from './Directory.ts';
import type { DirectoryChange } from './DirectoryChange.ts';
import type { DirectoryPeers } from './DirectoryPeers.ts';
import type { DirectoryReaderSelector } from './DirectoryReaderSelector.ts';
import { getEra, getUnbound, type EraBound } from './EraBound.ts';
import {
  getMaxReaderAgeMs, READER_SETTLE_FACTOR, READER_WAIT_FACTOR,
} from './getMaxReaderAgeMs.ts';
import type { KnownHost } from './HostEntry.ts';
import type { DirectorySnapshot, DirectoryStore } from './DirectoryStore.ts';

/** Timing of a {@link DirectoryFollower}. */
export interface DirectoryFollowerTimings {
  /** Duration of one wait for changes; a dead connection stays undetected for that long. */
  readonly waitMs: number;
  /**
   * Base wait when hosts follow one another: a quarter of the time within which a change has to be
   * in force. Null when every host follows the store.
   */
  readonly relayWaitMs: number | null;
  /**
   * Pause after changes, per known host, so that one call covers changes in quick succession: each
   * separate change costs a call of every host.
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

/** Age of the directory of a host relative to the store. */
export interface DirectoryFreshness {
  /** Time since the last answer of the store. */
  readonly ageMs: number;
  /** Time for which other hosts may still follow this host, unless the store answers again. */
  readonly expiresInMs: number;
}

/** Options of a {@link DirectoryFollower}. */
export interface DirectoryFollowerOptions {
  readonly clock: Clock;
  /** Store to follow. */
  readonly store: DirectoryStore;
  /** Directory to keep up to date. */
  readonly directory: Directory;
  /** Receives a line when contact with the store is lost or restored. */
  readonly logger: Logger;
  /** Source of the jitter of pauses. */
  readonly random: RandomSource;
  /** Selects the reader to follow; absent when every host follows the store. */
  readonly readerSelector?: DirectoryReaderSelector;
  /** Requests changes from readers; absent when there is no reader selector. */
  readonly peers?: DirectoryPeers;
  /** Waits; replaced in tests. */
  readonly pause?: (durationMs: number) => Promise<void>;
}

/**
 * Reads the whole store once and then follows its changes until stopped. In a large fleet most
 * hosts follow a reader in their failure domain instead, and read the store when that reader gives
 * no answer, has lost contact with the store, or lacks a revision.
 */
export class DirectoryFollower {
  readonly #options: DirectoryFollowerOptions;

  readonly #timings: DirectoryFollowerTimings;

  readonly #backoff: Backoff;

  readonly #pause: (durationMs: number) => Promise<void>;

  /** Changes for hosts that follow this host. */
  readonly changeLog = new ChangeLog();

  #revision: EraBound | null = null;

  /** The newest revision so far, also while the whole directory has to be read. */
  #lastRevision: EraBound | null = null;

  /** Monotonic time before which the whole store is not read again, after a failed attempt. */
  #readAgainAtMs = -Infinity;

  /** Monotonic time of the last answer of the store itself; null before the first. */
  #storeAnsweredAtMs: number | null = null;

  /** Whether the next step reads the store for changes that a reader did not deliver. */
  #mustCatchUp = false;

  #isStopped = false;

  #hasContact = true;

  #hasRead = false;

  /**
   * @param options - see {@link DirectoryFollowerOptions}
   * @param timings - overrides of the defaults
   */
  constructor(options: DirectoryFollowerOptions, timings: Partial<DirectoryFollowerTimings> = {}) {
    this.#options = options;
    this.#timings = { ...DEFAULT_DIRECTORY_FOLLOWER_TIMINGS, ...timings };
    this.#backoff = new Backoff(options.random, {
      minDelayMs: this.#timings.minPauseMs, maxDelayMs: this.#timings.maxPauseMs,
    });
    this.#pause = options.pause ?? ((durationMs) => pauseFor(durationMs));
  }

  /** Whether the store has been read at least once. */
  get hasRead(): boolean {
    return this.#hasRead;
  }

  /** Whether the last call to the store was answered. */
  get hasContact(): boolean {
    return this.#hasContact;
  }

  /** Freshness for hosts that follow this one; null when it lost the store or never follows it. */
  get freshness(): DirectoryFreshness | null {
    const { relayWaitMs } = this.#timings;
    if (this.#storeAnsweredAtMs === null || relayWaitMs === null) {
      return null;
    }
    const ageMs = this.#options.clock.getMonotonicMs() - this.#storeAnsweredAtMs;
    const maxAgeMs = getMaxReaderAgeMs(relayWaitMs);
    return ageMs <= maxAgeMs ? { ageMs, expiresInMs: maxAgeMs - ageMs } : null;
  }

  /** Follows changes until stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const startedAtMs = this.#options.clock.getMonotonicMs();
      try {
        // eslint-disable-next-line no-await-in-loop -- each wait continues from the one before
        const settleMs = await this.#step();
        if (settleMs > 0) {
          // eslint-disable-next-line no-await-in-loop -- the pause is the point
          await this.#pause(settleMs);
        }
      } catch (error) {
        // After a failed wait the store is read without waiting. If that fails too, the next step
        // asks a reader again, which may still have the changes.
        this.#mustCatchUp = !this.#mustCatchUp;
        this.#recordLoss(error);
        // eslint-disable-next-line no-await-in-loop -- the pause is the point
        await this.#pause(this.#getFailurePauseMs(startedAtMs));
      }
    }
  }

  /** Ends the loop after the call in progress. */
  stop(): void {
    this.#isStopped = true;
    this.changeLog.close();
  }

  /** Reads the whole store at the next step; for a process that was suspended. */
  requestFullRead(): void {
    this.#revision = null;
  }

  /** The duration of the failed call counts as part of the pause. */
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

  /** @returns the pause before the next step, to batch further changes */
  async #step(): Promise<number> {
    if (this.#revision === null) {
      await this.#readAll();
      return 0;
    }
    if (this.#isRepeatedReadDue && await this.#tryReadAgain()) {
      return 0;
    }
    const { readerSelector, peers } = this.#options;
    const { relayWaitMs } = this.#timings;
    const reader = relayWaitMs === null || this.#mustCatchUp
      ? null
      : readerSelector?.chooseReader() ?? null;
    if (reader === null || peers === undefined || relayWaitMs === null) {
      return this.#followStore(this.#revision);
    }
    await this.#followReader(peers, reader, this.#revision, this.#limitWaitMs(relayWaitMs));
    return 0;
  }

  get #isRepeatedReadDue(): boolean {
    return this.#options.directory.nextReadInMs === 0
      && this.#options.clock.getMonotonicMs() >= this.#readAgainAtMs;
  }

  /**
   * Reads the whole store again. A host that the store refuses goes on following its reader.
   *
   * @returns whether the store was read
   */
  async #tryReadAgain(): Promise<boolean> {
    try {
      await this.#readAll();
      return true;
    } catch (error) {
      this.#readAgainAtMs = this.#options.clock.getMonotonicMs() + this.#timings.maxPauseMs;
      this.#recordLoss(error);
      return false;
    }
  }

  async #readAll(): Promise<void> {
    const snapshot = await this.#options.store.readAll();
    const difference = this.#options.directory.applySnapshot(snapshot);
    this.#logEraChange(snapshot, difference);
    this.#lastRevision = snapshot.revision;
    this.#revision = snapshot.revision;
    this.changeLog.reset(snapshot.revision);
    this.#hasRead = true;
    this.#recordStoreAnswer();
    this.#options.logger.info({
      event: 'directoryRead',
      revision: snapshot.revision,
      entryCount: snapshot.changes.length,
      version: this.#options.directory.configuration?.version ?? null,
    }, 'read the whole directory from the store');
  }

  #logEraChange(
    { revision, changes }: DirectorySnapshot,
    difference: SnapshotDifference,
  ): void {
    const before = this.#lastRevision;
    if (before !== null && getEra(before) !== getEra(revision)) {
      this.#options.logger.warn({
        event: 'storeEraChanged',
        era: getEra(revision),
        before: getEra(before),
        revision: getUnbound(revision),
        revisionBefore: getUnbound(before),
        entryCount: changes.length,
        ...difference,
        version: this.#options.directory.configuration?.version ?? null,
      }, 'the store came back from an older copy; what it lacks is written again where known');
    }
  }

  /** @returns a pause before the whole directory is read, so that the hosts don't read at once */
  #getReadPauseMs(): number {
    const { settlePerHostMs, maxSettleMs } = this.#timings;
    const { directory, random } = this.#options;
    return random.getFraction() * Math.min(maxSettleMs, settlePerHostMs * directory.hosts.size);
  }

  async #followStore(startRevision: EraBound): Promise<number> {
    const { store } = this.#options;
    const result = await store.follow(startRevision, this.#getStoreWaitMs());
    this.#mustCatchUp = false;
    if (this.#revision !== startRevision) {
      return 0;
    }
    if (result.kind === 'eraChanged') {
      this.#revision = null;
      return this.#getReadPauseMs();
    }
    if (result.kind === 'historyLost') {
      this.#options.logger.warn(
        { event: 'directoryHistoryLost', revision: startRevision },
        'the store no longer has the changes after this revision; reading the whole directory',
      );
      this.#revision = null;
      return 0;
    }
    const hasChanges = result.changes.length > 0;
    this.#apply(result.changes, result.revision);
    this.changeLog.append(startRevision, result.revision, {
      payload: hasChanges ? result.payload : null,
      configurationPayload: result.configurationPayload,
    });
    this.#recordStoreAnswer();
    return hasChanges ? this.#getSettleMs() : 0;
  }

  #getStoreWaitMs(): number {
    if (this.#mustCatchUp) {
      return 0;
    }
    const { waitMs, relayWaitMs } = this.#timings;
    return this.#limitWaitMs(this.#isReader && relayWaitMs !== null
      ? Math.min(waitMs, relayWaitMs * READER_WAIT_FACTOR)
      : waitMs);
  }

  /** Limits a wait for changes to the time until the whole store has to be read again. */
  #limitWaitMs(waitMs: number): number {
    const { clock, directory } = this.#options;
    const postponedMs = this.#readAgainAtMs - clock.getMonotonicMs();
    const nextReadInMs = Math.max(directory.nextReadInMs ?? Infinity, postponedMs);
    return Math.ceil(Math.min(waitMs, nextReadInMs));
  }

  async #followReader(
    peers: DirectoryPeers,
    reader: KnownHost,
    startRevision: EraBound,
    waitMs: number,
  ): Promise<void> {
    const { store, directory, readerSelector } = this.#options;
    try {
      const answer = await peers.follow(reader, startRevision, waitMs);
      if (this.#revision !== startRevision) {
        return;
      }
      if (answer.kind === 'gap') {
        this.#mustCatchUp = true;
        if (answer.era !== getEra(startRevision)) {
          readerSelector?.recordFailure(reader, `it follows era ${answer.era} of the store`);
        }
        return;
      }
      const changes = answer.payloads
        .flatMap((payload) => store.decodeChanges(payload, answer.revision));
      this.#apply(changes, answer.revision);
      directory.recordConfirmation(answer.ageMs);
    } catch (error) {
      readerSelector?.recordFailure(reader, String(error));
      this.#mustCatchUp = true;
    }
  }

  /** Applies changes. The revision never decreases, whatever the source of the changes. */
  #apply(changes: readonly DirectoryChange[], revision: EraBound): void {
    changes.forEach((change) => this.#options.directory.apply(change));
    this.#revision = Math.max(this.#revision ?? 0, revision);
    this.#lastRevision = this.#revision;
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
        'the store answers again',
      );
    }
  }

  #recordLoss(error: unknown): void {
    if (this.#hasContact) {
      this.#hasContact = false;
      this.#options.logger.warn(
        { event: 'storeLost', revision: this.#revision, error: String(error) },
        'the store gives no answer; serving with the last known directory',
      );
    }
  }
}
