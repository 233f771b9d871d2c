import type { Logger } from 'pino';
import type { HostId } from '../lib/ids.ts';
import { getRendezvousScore } from '../membership/getRendezvousScore.ts';
import type { Clock } from '../time/Clock.ts';
import type { Directory } from './Directory.ts';
import type { KnownHost } from './HostEntry.ts';

/** Options of a {@link DirectoryReaderSelector}. */
export interface DirectoryReaderSelectorOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  readonly failureDomain: string;
  readonly directory: Directory;
  /** Receives a line when this host switches to another source. */
  readonly logger: Logger;
}

/** Number of hosts in a failure domain per reader of the store. */
const HOSTS_PER_READER = 24;
/** Substitutes for failed readers; after these fail too, every host reads the store itself. */
const SUBSTITUTE_COUNT = 2;
/** Smallest failure domain with readers; with fewer hosts, relaying saves too few calls. */
const MIN_DOMAIN_HOSTS = 4;
/**
 * Bandwidth that a reader needs: it sends each change to all its followers, and a configuration may
 * have a megabyte.
 */
const SUFFICIENT_LINK_MBPS = 100;
/** Time for which a failed reader is not chosen. */
const FAILED_READER_AVOIDANCE_MS = 5_000;

function getUsefulMbps({ linkMbps }: KnownHost): number {
  return Math.min(SUFFICIENT_LINK_MBPS, linkMbps);
}

function orderByScore(key: string, hosts: readonly KnownHost[]): KnownHost[] {
  return hosts
    .map((host) => ({ host, score: getRendezvousScore(key, host.id) }))
    .sort((left, right) => right.score - left.score)
    .map(({ host }) => host);
}

/**
 * Selects the hosts of a failure domain that follow the store (its readers), and the reader that
 * each other host follows.
 *
 * With hundreds of hosts that all follow the store, every change costs a call of every host, and
 * calls grow with the square of the fleet. Hosts with the same view of the fleet select the same
 * readers; where views differ there are a few more readers.
 */
export class DirectoryReaderSelector {
  readonly #options: DirectoryReaderSelectorOptions;

  readonly #avoidUntilMs = new Map<HostId, number>();

  #source: HostId | null = null;

  /**
   * @param options - see {@link DirectoryReaderSelectorOptions}
   */
  constructor(options: DirectoryReaderSelectorOptions) {
    this.#options = options;
  }

  /** Whether other hosts may follow this host. */
  get isReader(): boolean {
    return this.#getReaders().some(({ id }) => id === this.#options.hostId);
  }

  /** @returns the reader to follow; null to follow the store itself */
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
   * Records a failed request to a reader.
   *
   * @param host - the reader that gave no usable answer
   * @param detail - the error
   */
  recordFailure(host: KnownHost, detail: string): void {
    this.#avoidUntilMs.set(
      host.id,
      this.#options.clock.getMonotonicMs() + FAILED_READER_AVOIDANCE_MS,
    );
    this.#options.logger.info(
      { event: 'directoryReaderLost', reader: host.id, detail },
      'a directory reader gave no usable answer; reading the store instead',
    );
  }

  #recordSource(source: HostId | null): void {
    if (source !== this.#source) {
      this.#options.logger.info({
        event: 'directorySourceChanged',
        source: source ?? 'store',
        before: this.#source ?? 'store',
      }, 'the source of directory changes has changed');
      this.#source = source;
    }
  }

  #getReaders(): KnownHost[] {
    const {
      clock, directory, failureDomain, hostId,
    } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const domainHosts = [...directory.hosts.values()]
      .filter((host) => host.failureDomain === failureDomain);
    if (domainHosts.length < MIN_DOMAIN_HOSTS || !directory.hosts.has(hostId)) {
      return [];
    }
    const readerCount = Math.ceil(domainHosts.length / HOSTS_PER_READER);
    return orderByScore(failureDomain, domainHosts)
      .sort((left, right) => getUsefulMbps(right) - getUsefulMbps(left))
      .slice(0, readerCount + SUBSTITUTE_COUNT)
      .filter(({ id }) => (this.#avoidUntilMs.get(id) ?? -Infinity) <= nowMs)
      .slice(0, readerCount);
  }
}
