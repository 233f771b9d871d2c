import type { Logger } from 'pino';
import type { HostId } from '../lib/ids.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { Clock } from '../time/Clock.ts';
import type { ConfigurationCatchUp } from './ConfigurationCatchUp.ts';
import type { Directory } from './Directory.ts';

/** Options of a {@link PeerConfigurationCheck}. */
export interface PeerConfigurationCheckOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  readonly directory: Directory;
  readonly catchUp: Pick<ConfigurationCatchUp, 'refresh'>;
  readonly random: RandomSource;
  /** Longest time between two confirmations of the directory while the store answers. */
  readonly maxAgeMs: number;
  readonly logger: Logger;
}

/** Shortest time between two reads. */
const READ_INTERVAL_MS = 1_000;

/**
 * Asks other hosts for a newer configuration while this host hears nothing of the store, which may
 * answer them. Load pattern: the store is away for all of hundreds of hosts, each of which asks one
 * other host a second, at random.
 */
export class PeerConfigurationCheck {
  readonly #options: PeerConfigurationCheckOptions;

  #readAtMs = -Infinity;

  #read: Promise<void> = Promise.resolve();

  /**
   * @param options - see {@link PeerConfigurationCheckOptions}
   */
  constructor(options: PeerConfigurationCheckOptions) {
    this.#options = options;
  }

  /** Starts a read if the store is silent and one is due; to be called several times a second. */
  check(): void {
    this.#readIfOlder(this.#options.maxAgeMs);
  }

  /**
   * Makes sure that the store or another host has confirmed the configuration a moment ago, as far
   * as another host answers.
   *
   * @returns resolves after a read, if one was due
   */
  async confirm(): Promise<void> {
    this.#readIfOlder(READ_INTERVAL_MS);
    await this.#read;
  }

  #readIfOlder(maxAgeMs: number): void {
    const { clock, directory, catchUp } = this.#options;
    const nowMs = clock.getMonotonicMs();
    const isConfirmed = (directory.ageMs ?? 0) <= maxAgeMs;
    if (isConfirmed || nowMs - this.#readAtMs < READ_INTERVAL_MS) {
      return;
    }
    const peerAddress = this.#choosePeer();
    if (peerAddress !== null) {
      this.#readAtMs = nowMs;
      this.#read = catchUp.refresh(peerAddress).catch((error: unknown) => (
        this.#options.logger.error(
          { event: 'catchUpFailed', peerAddress, error: String(error) },
          'reading the configuration of another host failed unexpectedly',
        )));
    }
  }

  /** Hosts of earlier builds don't answer. */
  #choosePeer(): string | null {
    const { directory, hostId, random } = this.#options;
    const peers = [...directory.hosts.values()]
      .filter(({ id, comparesConfigurations }) => id !== hostId && comparesConfigurations === true);
    return peers[Math.floor(random.getFraction() * peers.length)]?.peerAddress ?? null;
  }
}
