import type { EraBound } from '../directory/EraBound.ts';
import type { RenewResult, StoreLease } from '../directory/StoreLease.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { StreamDigest } from './StreamDigest.ts';

/** The software versions at which streams of a pool may have begun, as the store records them. */
export interface PoolVersionRecord {
  readonly poolId: PoolId;
  /** The only such version; null when streams may have begun at several. */
  readonly soleVersion: string | null;
  /** Era of the store when the record was written; a copy may bring it into a later era. */
  readonly writtenInEra: number;
  readonly revision: EraBound;
}

/** Streams that began at one software version. */
export interface BegunStreams {
  readonly softwareVersion: string;
  readonly digests: readonly StreamDigest[];
}

/** Shares the software versions of streams between hosts. Methods reject without an answer. */
export interface StreamVersionStore {
  /**
   * @param ttlMs - duration of the lease
   * @returns a lease for batches
   */
  createLease(ttlMs: number): Promise<StoreLease>;
  /**
   * Writes a batch of begun streams.
   *
   * @param batchId - id of the batch; an earlier write of it is replaced
   * @param batch - the streams
   * @param lease - lease that bounds the lifetime of the batch
   * @returns whether the lease is still valid
   */
  writeBegunStreams(
    batchId: string,
    batch: readonly BegunStreams[],
    lease: StoreLease,
  ): Promise<RenewResult>;
  /**
   * Writes the record of a pool if the store still has the expected revision.
   *
   * @param poolId - the pool
   * @param soleVersion - see {@link PoolVersionRecord}
   * @param expectedRevision - revision of the record to replace; 0 for none
   * @returns the revision of the new record; null when another host was first
   */
  writePoolVersion(
    poolId: PoolId,
    soleVersion: string | null,
    expectedRevision: EraBound,
  ): Promise<EraBound | null>;
  /**
   * Reads the record of a pool as it is now.
   *
   * @param poolId - the pool
   * @returns the record; null when there is none
   */
  readPoolVersion(poolId: PoolId): Promise<PoolVersionRecord | null>;
  /**
   * Reads the entry of an upstream as it is now.
   *
   * @param upstreamId - the upstream
   * @returns the entry; null when there is none, or none that can be used
   */
  readUpstream(upstreamId: UpstreamId): Promise<UpstreamEntry | null>;
}
