import type { Logger } from 'pino';
import type { HostId } from '../lib/ids.ts';
import type { Directory } from './Directory.ts';
import type { DirectoryStore } from './DirectoryStore.ts';

/** Options of a {@link HostCountRecorder}. */
export interface HostCountRecorderOptions {
  readonly hostId: HostId;
  readonly directory: Directory;
  readonly store: DirectoryStore;
  readonly logger: Logger;
}

/** Delay before a write, so that one write records hosts that start together. */
const SETTLE_MS = 1_000;

/**
 * Records the largest number of hosts in the store, so that a process which starts while the
 * entries of other hosts are missing doesn't take more than its share of common bounds. The host
 * that has been registered the longest writes the record.
 */
export class HostCountRecorder {
  readonly #options: HostCountRecorderOptions;

  #timer: NodeJS.Timeout | null = null;

  #isWriting = false;

  #isClosed = false;

  /**
   * @param options - see {@link HostCountRecorderOptions}
   */
  constructor(options: HostCountRecorderOptions) {
    this.#options = options;
    options.directory.onChange(() => this.#schedule());
  }

  /** Cancels the pending write and schedules no further ones. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#timer ?? undefined);
  }

  #isDue(): boolean {
    const { directory, hostId } = this.#options;
    const own = directory.hosts.get(hostId);
    return !this.#isClosed
      && own !== undefined
      && directory.largestHostCount > directory.recordedHostCount.count
      && [...directory.hosts.values()]
        .every(({ registeredRevision }) => registeredRevision >= own.registeredRevision);
  }

  #schedule(): void {
    if (this.#timer === null && !this.#isWriting && this.#isDue()) {
      this.#timer = setTimeout(() => this.#record(), SETTLE_MS);
    }
  }

  #record(): void {
    const { directory, store, logger } = this.#options;
    const count = directory.largestHostCount;
    const { revision } = directory.recordedHostCount;
    this.#timer = null;
    if (!this.#isDue()) {
      return;
    }
    this.#isWriting = true;
    store.recordHostCount(count, revision)
      .then(() => logger.info({ event: 'hostCountRecorded', count }, 'recorded the host count'))
      .catch((error: unknown) => logger.info(
        { event: 'hostCountNotRecorded', count, error: String(error) },
        'the host count could not be recorded; retrying',
      ))
      .finally(() => {
        this.#isWriting = false;
        this.#schedule();
      });
  }
}
