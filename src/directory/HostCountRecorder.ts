import type { Logger } from 'pino';
import type { HostId } from '../lib/ids.ts';
import type { Directory } from './Directory.ts';
import type { DirectoryStore } from './DirectoryStore.ts';

/** What the keeper is made of. */
export interface HostCountRecorderOptions {
  readonly hostId: HostId;
  readonly directory: Directory;
  readonly store: DirectoryStore;
  readonly logger: Logger;
}

/** Hosts that start together are recorded together, with one write. */
const SETTLE_MS = 1_000;

/**
 * Keeps the largest number of hosts in the store, so that a process which starts while the entries
 * of the others are missing doesn't take a larger share of common bounds than it has. The host that
 * is registered for longest writes it.
 */
export class HostCountRecorder {
  readonly #options: HostCountRecorderOptions;

  #timer: NodeJS.Timeout | null = null;

  #isWriting = false;

  #isClosed = false;

  /**
   * @param parts - see {@link HostCountRecorderOptions}
   */
  constructor(parts: HostCountRecorderOptions) {
    this.#options = parts;
    parts.directory.onChange(() => this.#schedule());
  }

  /** Ends what runs in the background. */
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
        'the host count is not recorded; trying again',
      ))
      .finally(() => {
        this.#isWriting = false;
        this.#schedule();
      });
  }
}
