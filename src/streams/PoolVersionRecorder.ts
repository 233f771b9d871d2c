import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { DirectoryChange } from '../directory/DirectoryChange.ts';
import type { ServingConfiguration } from '../directory/ServingConfiguration.ts';
import type { HostId, PoolId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { StreamVersionStore } from './StreamVersionStore.ts';
import { STREAM_TTL_MS, type StreamVersionTable } from './StreamVersionTable.ts';

/** Options of a {@link PoolVersionRecorder}. */
export interface PoolVersionRecorderOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  readonly directory: Directory;
  readonly store: StreamVersionStore;
  readonly table: StreamVersionTable;
  readonly logger: Logger;
}

/** Time by which a host writes a record later than the one that registered just before it. */
const RANK_DELAY_MS = 300;
const MAX_RANK = 20;
const CHECK_INTERVAL_MS = 1_000;
/** Age above which the directory may have missed that an upstream came and went. */
const MAX_DIRECTORY_AGE_MS = 20_000;
/**
 * Time for which only one version was listed, after which no caller resumes a stream of another
 * one. An upstream that leaves serves for a while after its entry is gone.
 */
const SETTLE_MS = STREAM_TTL_MS * 2;

/** Kinds of changes that can make a record due; time can too, which the periodic check covers. */
const RELEVANT_CHANGES: ReadonlySet<DirectoryChange['kind']> = new Set([
  'configuration', 'upstream', 'upstreamGone', 'poolVersionRecorded', 'storeEraChanged',
]);

interface DueRecord {
  readonly poolId: PoolId;
  /** Version to record as the only one; null for several. */
  readonly soleVersion: string | null;
}

/**
 * Records in the store at which software versions streams of a pool may begin. Hosts begin streams
 * only at a recorded version, so the record is never behind them. The host that has been registered
 * the longest writes it; others follow in turn if it does not.
 */
export class PoolVersionRecorder {
  readonly #options: PoolVersionRecorderOptions;

  /** Since when only one version was listed, by pool. */
  readonly #settling = new Map<PoolId, { readonly version: string; readonly sinceMs: number }>();

  readonly #writing = new Set<PoolId>();

  /** When an engine of a pool last served streams at a version that was not known. */
  readonly #unlistedAtMs = new Map<PoolId, number>();

  /** The pools of a configuration, found once for each. */
  #streamPools: {
    readonly configuration: ServingConfiguration | null;
    readonly poolIds: ReadonlySet<PoolId>;
  } = { configuration: null, poolIds: new Set() };

  readonly #timers = new Map<PoolId, NodeJS.Timeout>();

  #checkTimer: NodeJS.Timeout | null = null;

  /**
   * @param options - see {@link PoolVersionRecorderOptions}
   */
  constructor(options: PoolVersionRecorderOptions) {
    this.#options = options;
    options.directory.onChange(({ kind }) => {
      if (RELEVANT_CHANGES.has(kind)) {
        this.#check();
      }
    });
  }

  /** Starts checking periodically whether a record is due. */
  start(): void {
    this.#checkTimer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
    this.#checkTimer.unref();
  }

  /** Cancels pending writes. */
  close(): void {
    clearInterval(this.#checkTimer ?? undefined);
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.#timers.clear();
  }

  /**
   * Records that an engine serves streams at a version that can't be known yet, so that the pool
   * may have several.
   *
   * @param poolId - its pool
   */
  recordUnlisted(poolId: PoolId): void {
    this.#unlistedAtMs.set(poolId, this.#options.clock.getMonotonicMs());
    if (this.#getDue(poolId) !== null && !this.#writing.has(poolId)) {
      // Other hosts may not know of that engine's process.
      clearTimeout(this.#timers.get(poolId));
      this.#write(poolId);
    }
  }

  /**
   * @param poolId - a pool
   * @returns whether callers may resume streams that began at a version not known then
   */
  hasUnlisted(poolId: PoolId): boolean {
    const atMs = this.#unlistedAtMs.get(poolId) ?? -Infinity;
    return this.#options.clock.getMonotonicMs() - atMs < STREAM_TTL_MS;
  }

  #check(): void {
    this.#getStreamPools().forEach((poolId) => {
      this.#watchSettling(poolId);
      const isBusy = this.#timers.has(poolId) || this.#writing.has(poolId);
      if (!isBusy && this.#getDue(poolId) !== null) {
        this.#timers.set(poolId, setTimeout(() => this.#write(poolId), this.#getDelayMs()));
      }
    });
  }

  /** @returns the pools whose streams callers may resume */
  #getStreamPools(): ReadonlySet<PoolId> {
    const { configuration } = this.#options.directory;
    if (this.#streamPools.configuration !== configuration) {
      const poolIds = new Set((configuration?.routes ?? [])
        .filter(({ isStream, isResumable }) => isStream && isResumable)
        .flatMap(({ targets }) => targets.map(({ poolId }) => poolId)));
      this.#streamPools = { configuration, poolIds };
    }
    return this.#streamPools.poolIds;
  }

  /** Earlier registered hosts go first, so that usually one host writes. */
  #getDelayMs(): number {
    const { directory, hostId } = this.#options;
    const own = directory.hosts.get(hostId);
    const ownRevision = own?.registeredRevision ?? Infinity;
    const rank = [...directory.hosts.values()]
      .filter(({ registeredRevision }) => registeredRevision < ownRevision).length;
    return Math.min(rank, MAX_RANK) * RANK_DELAY_MS;
  }

  /** Finds the only version of the entries of a pool; null for several, for none or an unknown. */
  #getOnlyVersion(poolId: PoolId): string | null {
    if (this.hasUnlisted(poolId)) {
      return null;
    }
    const versions = this.#options.directory.getSoftwareVersions(poolId);
    const [version] = versions;
    return versions.size === 1 && version !== undefined ? version : null;
  }

  #watchSettling(poolId: PoolId): void {
    const { clock, directory } = this.#options;
    const version = this.#getOnlyVersion(poolId);
    const isOutdated = (directory.ageMs ?? Infinity) > MAX_DIRECTORY_AGE_MS;
    if (version === null || isOutdated) {
      this.#settling.delete(poolId);
    } else if (this.#settling.get(poolId)?.version !== version) {
      this.#settling.set(poolId, { version, sinceMs: clock.getMonotonicMs() });
    }
  }

  #getDue(poolId: PoolId): DueRecord | null {
    const { clock, directory, table } = this.#options;
    const state = table.getState(poolId);
    const onlyVersion = this.#getOnlyVersion(poolId);
    if (directory.getSoftwareVersions(poolId).size === 0) {
      return null;
    }
    switch (state.kind) {
      case 'unrecorded':
        return { poolId, soleVersion: onlyVersion };
      case 'sole':
        return onlyVersion === state.softwareVersion ? null : { poolId, soleVersion: null };
      default: {
        const settling = this.#settling.get(poolId);
        const isSettled = settling !== undefined
          && clock.getMonotonicMs() - settling.sinceMs >= SETTLE_MS;
        return isSettled ? { poolId, soleVersion: settling.version } : null;
      }
    }
  }

  #write(poolId: PoolId): void {
    const { store, table, logger } = this.#options;
    this.#timers.delete(poolId);
    const due = this.#getDue(poolId);
    if (due === null) {
      return;
    }
    const { soleVersion } = due;
    this.#writing.add(poolId);
    store.writePoolVersion(poolId, soleVersion, table.getRecord(poolId)?.revision ?? 0)
      .then((revision) => logger.info(
        {
          event: 'poolVersionRecorded', poolId, soleVersion, revision,
        },
        revision === null
          ? 'another host has recorded the software versions of a pool'
          : 'recorded at which software versions streams of a pool may begin',
      ))
      .catch((error: unknown) => logger.warn(
        {
          event: 'poolVersionNotRecorded', poolId, soleVersion, error: String(error),
        },
        'the software versions of a pool could not be recorded; retrying',
      ))
      .finally(() => this.#writing.delete(poolId));
  }
}
