import type { Logger } from 'pino';
import type { HostId } from '../lib/ids.ts';
import { getRendezvousScore } from '../membership/getRendezvousScore.ts';
import type { Clock } from '../time/Clock.ts';
import type { Directory } from './Directory.ts';
import type { KnownHost } from './HostEntry.ts';

/** What the choice of readers is made from. */
export interface DirectoryReaderSelectorOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  readonly failureDomain: string;
  readonly directory: Directory;
  /** Gets a line when this host turns to another source. */
  readonly logger: Logger;
}

/** Hosts of a failure domain for each of which one reads the store. */
const HOSTS_PER_READER = 24;
/** Hosts that stand in for readers that failed, before every host reads the store itself. */
const SUBSTITUTE_COUNT = 2;
/** A failure domain of fewer hosts gains too little. */
const MIN_DOMAIN_HOSTS = 4;
/** How long a reader that failed is passed over. */
const FAILED_READER_AVOIDANCE_MS = 5_000;

function orderByScore(key: string, hosts: readonly KnownHost[]): KnownHost[] {
  return hosts
    .map((host) => ({ host, score: getRendezvousScore(key, host.id) }))
    .sort((left, right) => right.score - left.score)
    .map(({ host }) => host);
}

/**
 * Says which hosts of a failure domain follow the store, and whom each of the others follows.
 *
 * Load pattern: hundreds of hosts. Where each follows the store itself, every change costs a call
 * of every host, and calls grow with the square of the fleet. All hosts with the same view choose
 * the same readers; where views differ there are a few more of them.
 */
export class DirectoryReaderSelector {
  readonly #options: DirectoryReaderSelectorOptions;

  readonly #avoidUntilMs = new Map<HostId, number>();

  #source: HostId | null = null;

  /**
   * @param parts - see {@link DirectoryReaderSelectorOptions}
   */
  constructor(parts: DirectoryReaderSelectorOptions) {
    this.#options = parts;
  }

  /** Whether other hosts may follow this one. */
  get isReader(): boolean {
    return this.#getReaders().some(({ id }) => id === this.#options.hostId);
  }

  /** @returns the host to follow; null for the store itself */
  chooseReader(): KnownHost | null {
    const { hostId } = this.#options;
    const readers = this.#getReaders();
    const chosen = readers.some(({ id }) => id === hostId)
      ? null
      : orderByScore(hostId, readers)[0] ?? null;
    this.#recordSource(chosen?.id ?? null);
    return chosen;
  }

  /**
   * @param host - a reader that gave no usable answer
   * @param detail - what was seen
   */
  recordFailure(host: KnownHost, detail: string): void {
    this.#avoidUntilMs.set(host.id, this.#options.clock.getMonotonicMs() + FAILED_READER_AVOIDANCE_MS);
    this.#options.logger.info(
      { event: 'directoryReaderLost', reader: host.id, detail },
      'a reader of the directory gives no answer; reading the store',
    );
  }

  #recordSource(source: HostId | null): void {
    if (source !== this.#source) {
      this.#options.logger.info({
        event: 'directorySourceChanged',
        source: source ?? 'store',
        before: this.#source ?? 'store',
      }, 'the directory is followed from another source');
      this.#source = source;
    }
  }

  #getReaders(): KnownHost[] {
    const {
      clock, directory, failureDomain, hostId,
    } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const near = [...directory.hosts.values()]
      .filter((host) => host.failureDomain === failureDomain);
    if (near.length < MIN_DOMAIN_HOSTS || !directory.hosts.has(hostId)) {
      return [];
    }
    const readerCount = Math.ceil(near.length / HOSTS_PER_READER);
    return orderByScore(failureDomain, near)
      .slice(0, readerCount + SUBSTITUTE_COUNT)
      .filter(({ id }) => (this.#avoidUntilMs.get(id) ?? -Infinity) <= nowMs)
      .slice(0, readerCount);
  }
}
