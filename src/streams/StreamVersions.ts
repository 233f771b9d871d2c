import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import { getEra } from '../directory/EraBound.ts';
import type { HostId, PoolId } from '../lib/ids.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { Clock } from '../time/Clock.ts';
import { scheduleTimer, type Schedule } from '../time/scheduleTimer.ts';
import { BegunStreamWriter } from './BegunStreamWriter.ts';
import { PoolVersionRecorder } from './PoolVersionRecorder.ts';
import { getStreamDigest } from './StreamDigest.ts';
import type { StreamVersionStore } from './StreamVersionStore.ts';
import { StreamVersionTable, getPoolVersionState } from './StreamVersionTable.ts';

/** Options of {@link StreamVersions}. */
export interface StreamVersionsOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  /** Differs for each process of a host. */
  readonly processId: string;
  readonly directory: Directory;
  readonly store: StreamVersionStore;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Runs an action after a delay; replaced in tests. */
  readonly schedule?: Schedule;
}

/** The software version that began a stream, and what shows it. */
export type StreamVersionAnswer =
  | {
    readonly kind: 'known';
    readonly softwareVersion: string;
    /** `streams`: the stream's own record; `pool`: all streams of the pool began at it. */
    readonly source: 'streams' | 'pool';
  }
  | { readonly kind: 'unknown'; readonly detail: string };

/** Time in addition to a write interval after which another host's record has arrived. */
const RECORD_DELAY_MS = 100;

/**
 * Knows at which software version each resumable stream began, also after the host that began it
 * has stopped. What two versions write doesn't fit together, so a stream whose version is unknown
 * may not go on.
 *
 * While a pool has one version, one record in the store tells so, and streams need none of their
 * own. While it has several, each host writes the streams that it begins in batches.
 */
export class StreamVersions {
  readonly #options: StreamVersionsOptions;

  readonly #table: StreamVersionTable;

  readonly #writer: BegunStreamWriter;

  readonly #recorder: PoolVersionRecorder;

  /** The read of each pool's record that has not been sent yet, for all who ask meanwhile. */
  readonly #nextReads = new Map<PoolId, Promise<StreamVersionAnswer>>();

  /** The last read of each pool's record, which the next one waits for. */
  readonly #lastReads = new Map<PoolId, Promise<unknown>>();

  /**
   * @param options - see {@link StreamVersionsOptions}
   */
  constructor(options: StreamVersionsOptions) {
    const { clock, directory, hostId } = options;
    this.#options = options;
    this.#table = new StreamVersionTable(clock, directory);
    this.#writer = new BegunStreamWriter({
      ...options,
      batchPrefix: `${hostId}/${options.processId}`,
      getHostCount: () => directory.largestHostCount,
    });
    this.#recorder = new PoolVersionRecorder({ ...options, table: this.#table });
    directory.onChange((change) => {
      if (change.kind === 'storeEraChanged') {
        this.#writer.forgetLease();
        this.#writer.add(this.#table.getOwnStreams());
      } else if (change.kind === 'poolVersionRecorded' && change.record.soleVersion === null) {
        this.#writer.add(this.#table.getOwnStreams());
      }
    });
  }

  /** Starts to record the versions of pools. */
  start(): void {
    this.#recorder.start();
  }

  /** Stops all writes. */
  close(): void {
    this.#recorder.close();
    this.#writer.close();
  }

  /**
   * @param poolId - a pool
   * @param softwareVersion - version of one of its upstreams; null when unknown
   * @returns whether a new resumable stream may begin there
   */
  mayBegin(poolId: PoolId, softwareVersion: string | null): boolean {
    const state = this.#table.getState(poolId);
    return state.kind === 'mixed'
      || (state.kind === 'sole' && state.softwareVersion === softwareVersion);
  }

  /**
   * Records that the caller has an event of a stream.
   *
   * @param poolId - the pool
   * @param requestId - id of the client attempt that brought the stream's first event
   * @param softwareVersion - the version that began it
   */
  recordBegun(poolId: PoolId, requestId: string, softwareVersion: string): void {
    const digest = getStreamDigest(poolId, requestId);
    this.#table.record(digest, softwareVersion);
    if (this.#table.getState(poolId).kind !== 'sole') {
      this.#writer.add([{ digest, softwareVersion }]);
    }
  }

  /**
   * Records that an engine of a pool serves streams at a version that can't be known yet.
   *
   * @param poolId - the pool
   */
  recordUnlisted(poolId: PoolId): void {
    this.#recorder.recordUnlisted(poolId);
  }

  /**
   * Finds the software version that began a stream.
   *
   * @param poolId - the pool
   * @param requestId - id of the client attempt that brought its first event; null if not named
   * @returns the version, or why it is unknown
   */
  async find(poolId: PoolId, requestId: string | null): Promise<StreamVersionAnswer> {
    const first = await this.#findNow(poolId, requestId);
    if (first.kind === 'known') {
      return first;
    }
    await this.#waitForRecords();
    return this.#findNow(poolId, requestId);
  }

  async #findNow(poolId: PoolId, requestId: string | null): Promise<StreamVersionAnswer> {
    const known = this.#findRecorded(poolId, requestId);
    if (known !== null) {
      return known;
    }
    // The store may have a newer record than this host.
    return this.#table.getState(poolId).kind === 'mixed' || this.#recorder.hasUnlisted(poolId)
      ? { kind: 'unknown', detail: 'the pool has several versions' }
      : this.#readPool(poolId);
  }

  #findRecorded(poolId: PoolId, requestId: string | null): StreamVersionAnswer | null {
    const softwareVersion = requestId === null
      ? null
      : this.#table.find(getStreamDigest(poolId, requestId));
    return softwareVersion === null
      ? null
      : { kind: 'known', softwareVersion, source: 'streams' };
  }

  /** Waits until a stream that another host has just begun would be known here. */
  async #waitForRecords(): Promise<void> {
    const { schedule = scheduleTimer } = this.#options;
    await new Promise<void>((resolve) => {
      schedule(this.#writer.writeIntervalMs + RECORD_DELAY_MS, resolve);
    });
  }

  /** Reads the record of a pool after this call; calls that wait for a read share the next one. */
  #readPool(poolId: PoolId): Promise<StreamVersionAnswer> {
    const waiting = this.#nextReads.get(poolId);
    if (waiting !== undefined) {
      return waiting;
    }
    const next = (this.#lastReads.get(poolId) ?? Promise.resolve()).then(() => {
      this.#nextReads.delete(poolId);
      const read = this.#readPoolNow(poolId);
      this.#lastReads.set(poolId, read);
      return read;
    });
    this.#nextReads.set(poolId, next);
    return next;
  }

  async #readPoolNow(poolId: PoolId): Promise<StreamVersionAnswer> {
    const { store, logger } = this.#options;
    try {
      const record = await store.readPoolVersion(poolId);
      if (record === null) {
        return { kind: 'unknown', detail: 'the store has no record of the pool' };
      }
      const state = getPoolVersionState(record, getEra(record.revision));
      return state.kind === 'sole'
        ? { kind: 'known', softwareVersion: state.softwareVersion, source: 'pool' }
        : { kind: 'unknown', detail: 'the pool has several versions' };
    } catch (error) {
      logger.warn(
        { event: 'poolVersionNotRead', poolId, error: String(error) },
        'the store did not tell the software versions of a pool; its streams are not resumed',
      );
      return { kind: 'unknown', detail: 'the store did not answer' };
    }
  }
}
