import type { Directory } from '../directory/Directory.ts';
import type { DirectoryChange } from '../directory/DirectoryChange.ts';
import { getEra } from '../directory/EraBound.ts';
import type { PoolId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { StreamDigest } from './StreamDigest.ts';
import type { PoolVersionRecord } from './StreamVersionStore.ts';

/** The known software versions at which streams of a pool may have begun. */
export type PoolVersionState =
  /** No record is known; no stream may begin. */
  | { readonly kind: 'unrecorded' }
  /** All streams that a caller may still resume began at this version. */
  | { readonly kind: 'sole'; readonly softwareVersion: string }
  /** Streams begin at any version, and each host shares which stream began at which. */
  | { readonly kind: 'mixed' };

/** A stream that this host began. */
export interface OwnStream {
  readonly digest: StreamDigest;
  readonly softwareVersion: string;
}

interface KnownStream {
  readonly softwareVersion: string;
  readonly isOwn: boolean;
  /** Monotonic time when it was recorded. */
  readonly atMs: number;
}

/** Longest time from a stream's first event to its last resumption. */
export const STREAM_TTL_MS = 60_000;
/** Number of streams above which the oldest is forgotten; its resumption is then refused. */
const MAX_STREAMS = 100_000;

function getOldest(
  streams: ReadonlyMap<StreamDigest, KnownStream>,
): { readonly digest: StreamDigest; readonly stream: KnownStream } | null {
  const first = streams.entries().next();
  return first.done === true ? null : { digest: first.value[0], stream: first.value[1] };
}

/**
 * Evaluates a record of the store.
 *
 * @param record - the record
 * @param era - the store's era
 * @returns the state; a record from before the store came back from a copy counts as mixed, since
 * the store may have lost a later one
 */
export function getPoolVersionState(record: PoolVersionRecord, era: number): PoolVersionState {
  return record.soleVersion === null || record.writtenInEra !== era
    ? { kind: 'mixed' }
    : { kind: 'sole', softwareVersion: record.soleVersion };
}

/**
 * Knows the software versions at which streams began: those of this host, and those that the
 * directory brings from other hosts.
 */
export class StreamVersionTable {
  readonly #clock: Clock;

  readonly #records = new Map<PoolId, PoolVersionRecord>();

  /** In the order in which they were recorded. */
  readonly #streams = new Map<StreamDigest, KnownStream>();

  /** The store's era if it has changed since this host started; else null. */
  #changedEra: number | null = null;

  /**
   * @param clock - tells when streams are forgotten
   * @param directory - brings the records of the store
   */
  constructor(clock: Clock, directory: Directory) {
    this.#clock = clock;
    directory.onChange((change) => this.#applyChange(change));
  }

  /**
   * @param poolId - a pool
   * @returns its record as last read from the store; undefined when there is none
   */
  getRecord(poolId: PoolId): PoolVersionRecord | undefined {
    return this.#records.get(poolId);
  }

  /**
   * @param poolId - a pool
   * @returns what this host knows of its versions
   */
  getState(poolId: PoolId): PoolVersionState {
    const record = this.#records.get(poolId);
    return record === undefined
      ? { kind: 'unrecorded' }
      : getPoolVersionState(record, this.#changedEra ?? getEra(record.revision));
  }

  /**
   * Records a stream that this host began or resumed.
   *
   * @param digest - the stream
   * @param softwareVersion - the version that began it
   */
  record(digest: StreamDigest, softwareVersion: string): void {
    this.#remember(digest, softwareVersion, true);
  }

  /**
   * @param digest - a stream
   * @returns the software version that began it; null when unknown
   */
  find(digest: StreamDigest): string | null {
    this.#forgetOld();
    return this.#streams.get(digest)?.softwareVersion ?? null;
  }

  /** @returns the streams that this host began and that callers may still resume */
  getOwnStreams(): OwnStream[] {
    this.#forgetOld();
    return [...this.#streams].flatMap(([digest, { softwareVersion, isOwn }]) => (
      isOwn ? [{ digest, softwareVersion }] : []));
  }

  #applyChange(change: DirectoryChange): void {
    switch (change.kind) {
      case 'poolVersionRecorded':
        this.#records.set(change.record.poolId, change.record);
        break;
      case 'streamsBegun':
        change.batch.forEach(({ softwareVersion, digests }) => {
          digests.forEach((digest) => this.#remember(digest, softwareVersion, false));
        });
        break;
      case 'storeEraChanged':
        this.#changedEra = change.era;
        break;
      default:
        break;
    }
  }

  #remember(digest: StreamDigest, softwareVersion: string, isOwn: boolean): void {
    const isKnownAsOwn = this.#streams.get(digest)?.isOwn ?? false;
    this.#streams.delete(digest);
    this.#streams.set(digest, {
      softwareVersion, isOwn: isOwn || isKnownAsOwn, atMs: this.#clock.getMonotonicMs(),
    });
    this.#forgetOld();
  }

  #forgetOld(): void {
    const oldestMs = this.#clock.getMonotonicMs() - STREAM_TTL_MS;
    const isKept = ({ atMs }: KnownStream): boolean => (
      atMs > oldestMs && this.#streams.size <= MAX_STREAMS);
    let oldest = getOldest(this.#streams);
    while (oldest !== null && !isKept(oldest.stream)) {
      this.#streams.delete(oldest.digest);
      oldest = getOldest(this.#streams);
    }
  }
}
