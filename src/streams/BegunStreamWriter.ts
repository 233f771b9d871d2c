import type { Logger } from 'pino';
import { Backoff } from '../configuration/Backoff.ts';
import type { StoreLease } from '../directory/StoreLease.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { Clock } from '../time/Clock.ts';
import { scheduleTimer, type Schedule } from '../time/scheduleTimer.ts';
import type { StreamDigest } from './StreamDigest.ts';
import type { BegunStreams, StreamVersionStore } from './StreamVersionStore.ts';
import { STREAM_TTL_MS, type OwnStream } from './StreamVersionTable.ts';

/** Options of a {@link BegunStreamWriter}. */
export interface BegunStreamWriterOptions {
  readonly clock: Clock;
  readonly store: StreamVersionStore;
  /** Prefix of the ids of batches; differs for each process. */
  readonly batchPrefix: string;
  /** @returns the number of hosts that share the write rate */
  readonly getHostCount: () => number;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Runs an action after a delay; replaced in tests. */
  readonly schedule?: Schedule;
}

/** Shortest interval between two writes of one host. */
const MIN_WRITE_INTERVAL_MS = 100;
/** Interval for each host, so that all hosts together write at most 100 times a second. */
const WRITE_INTERVAL_PER_HOST_MS = 10;
/** Streams in a batch; a full batch is not written again. */
const BATCH_SIZE = 32;
/** Time for which new batches get the same lease. */
const LEASE_USE_MS = 30_000;
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1_000;
/** Streams that wait to be written; the oldest are dropped first. */
const MAX_PENDING = 10_000;

interface Batch {
  readonly id: string;
  readonly lease: StoreLease;
  readonly streams: Map<StreamDigest, string>;
}

function groupByVersion(streams: ReadonlyMap<StreamDigest, string>): BegunStreams[] {
  const digests = new Map<string, StreamDigest[]>();
  streams.forEach((softwareVersion, digest) => {
    digests.set(softwareVersion, [...digests.get(softwareVersion) ?? [], digest]);
  });
  return [...digests].map(([softwareVersion, own]) => ({ softwareVersion, digests: own }));
}

/**
 * Writes the software versions of begun streams to the store in small batches. A batch that is not
 * full is written again with the streams that begin next.
 */
export class BegunStreamWriter {
  readonly #options: BegunStreamWriterOptions;

  readonly #backoff: Backoff;

  readonly #pending = new Map<StreamDigest, string>();

  #batch: Batch | null = null;

  #batchCount = 0;

  #lease: { readonly lease: StoreLease; readonly createdAtMs: number } | null = null;

  #isBusy = false;

  #isClosed = false;

  /**
   * @param options - see {@link BegunStreamWriterOptions}
   */
  constructor(options: BegunStreamWriterOptions) {
    this.#options = options;
    this.#backoff = new Backoff(options.random, {
      minDelayMs: MIN_RETRY_DELAY_MS, maxDelayMs: MAX_RETRY_DELAY_MS,
    });
  }

  /** Longest time from a stream's begin until the store has it, while the store answers. */
  get writeIntervalMs(): number {
    return Math.max(
      MIN_WRITE_INTERVAL_MS,
      this.#options.getHostCount() * WRITE_INTERVAL_PER_HOST_MS,
    );
  }

  /** @param streams - streams to write */
  add(streams: readonly OwnStream[]): void {
    streams.forEach(({ digest, softwareVersion }) => this.#pending.set(digest, softwareVersion));
    while (this.#pending.size > MAX_PENDING) {
      const [oldest] = this.#pending.keys();
      this.#pending.delete(oldest as StreamDigest);
    }
    this.#start();
  }

  /** Drops the lease, which a store that came back from an older copy may have lost. */
  forgetLease(): void {
    this.#lease = null;
    this.#batch = null;
  }

  /** Stops writing. */
  close(): void {
    this.#isClosed = true;
  }

  #start(): void {
    if (this.#isBusy || this.#isClosed || this.#pending.size === 0) {
      return;
    }
    this.#isBusy = true;
    this.#writeNext()
      .then(() => {
        this.#backoff.reset();
        this.#continueAfter(this.writeIntervalMs);
      })
      .catch((error: unknown) => {
        this.#options.logger.warn(
          {
            event: 'begunStreamsNotWritten',
            pendingCount: this.#pending.size,
            error: String(error),
          },
          'the software versions of begun streams could not be written to the store; retrying',
        );
        this.#continueAfter(this.#backoff.getNextDelayMs());
      });
  }

  #continueAfter(delayMs: number): void {
    const { schedule = scheduleTimer } = this.#options;
    schedule(delayMs, () => {
      this.#isBusy = false;
      this.#start();
    });
  }

  async #writeNext(): Promise<void> {
    const batch = await this.#getBatch();
    const added = [...this.#pending].slice(0, BATCH_SIZE - batch.streams.size);
    added.forEach(([digest, softwareVersion]) => {
      this.#pending.delete(digest);
      batch.streams.set(digest, softwareVersion);
    });
    const { store } = this.#options;
    try {
      if (await store.writeBegunStreams(
        batch.id,
        groupByVersion(batch.streams),
        batch.lease,
      ) === 'ended') {
        this.forgetLease();
        throw new Error('the lease of the batch has expired; the retry creates one');
      }
    } catch (error) {
      added.forEach(([digest, softwareVersion]) => {
        batch.streams.delete(digest);
        this.#pending.set(digest, softwareVersion);
      });
      throw error;
    }
  }

  async #getBatch(): Promise<Batch> {
    const lease = await this.#getLease();
    if (
      this.#batch === null || this.#batch.lease !== lease || this.#batch.streams.size >= BATCH_SIZE
    ) {
      this.#batchCount += 1;
      const id = `${this.#options.batchPrefix}/${this.#batchCount}`;
      this.#batch = { id, lease, streams: new Map() };
    }
    return this.#batch;
  }

  async #getLease(): Promise<StoreLease> {
    const { clock, store } = this.#options;
    const known = this.#lease;
    if (known !== null && clock.getMonotonicMs() - known.createdAtMs < LEASE_USE_MS) {
      return known.lease;
    }
    const createdAtMs = clock.getMonotonicMs();
    const lease = await store.createLease(LEASE_USE_MS + STREAM_TTL_MS);
    this.#lease = { lease, createdAtMs };
    return lease;
  }
}
