import type { Logger } from 'pino';
import type { ConfigurationPeers } from './ConfigurationPeers.ts';
import type { Directory } from './Directory.ts';
import type { DirectoryStore } from './DirectoryStore.ts';

/** Options of a {@link ConfigurationCatchUp}. */
export interface ConfigurationCatchUpOptions {
  /** Directory that adopts the configurations. */
  readonly directory: Directory;
  /** Decodes them. */
  readonly store: Pick<DirectoryStore, 'decodeConfiguration'>;
  readonly peers: ConfigurationPeers;
  /** Receives a line for each configuration that was read, or could not be. */
  readonly logger: Logger;
}

/**
 * Reads the configuration from another host that may have a newer version than this one: the store
 * may not answer this host, or not yet.
 */
export class ConfigurationCatchUp {
  readonly #options: ConfigurationCatchUpOptions;

  /** Reads in progress, by the version wanted and the address of the other host. */
  readonly #reads = new Map<string, Promise<void>>();

  /**
   * @param options - see {@link ConfigurationCatchUpOptions}
   */
  constructor(options: ConfigurationCatchUpOptions) {
    this.#options = options;
  }

  /**
   * @param version - a version of the configuration
   * @returns whether this host has it, or a newer one
   */
  hasReached(version: number): boolean {
    const { configuration } = this.#options.directory;
    return configuration !== null && configuration.version >= version;
  }

  /**
   * Reads a version from another host, unless this host has it. Goes on after the wait.
   *
   * @param version - the version
   * @param peerAddress - IP address and port of the other host
   * @param maxWaitMs - the longest wait
   * @returns whether this host has the version, or a newer one, after the wait
   */
  async reach(version: number, peerAddress: string, maxWaitMs: number): Promise<boolean> {
    if (this.hasReached(version)) {
      return true;
    }
    let timer: NodeJS.Timeout | undefined;
    const waited = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, maxWaitMs);
    });
    await Promise.race([this.#readOnce(version, peerAddress), waited]);
    clearTimeout(timer);
    return this.hasReached(version);
  }

  /**
   * Begins to read a version from another host, unless this host has it.
   *
   * @param version - the version
   * @param peerAddress - IP address and port of the other host
   */
  start(version: number, peerAddress: string): void {
    if (!this.hasReached(version)) {
      this.#readOnce(version, peerAddress).catch((error: unknown) => this.#options.logger.error(
        { event: 'catchUpFailed', version, error: String(error) },
        'reading a newer configuration failed unexpectedly',
      ));
    }
  }

  /**
   * Reads the configuration of another host, which may be newer or not.
   *
   * @param peerAddress - IP address and port of the other host
   * @returns resolves when it was read, or could not be
   */
  refresh(peerAddress: string): Promise<void> {
    return this.#readOnce(null, peerAddress);
  }

  /** Lets all requests that wait for the same version share one read. */
  #readOnce(version: number | null, peerAddress: string): Promise<void> {
    const key = `${version} ${peerAddress}`;
    const known = this.#reads.get(key);
    if (known !== undefined) {
      return known;
    }
    const read = this.#read(version, peerAddress).finally(() => this.#reads.delete(key));
    this.#reads.set(key, read);
    return read;
  }

  async #read(wantedVersion: number | null, peerAddress: string): Promise<void> {
    const {
      directory, store, peers, logger,
    } = this.#options;
    const versionBefore = directory.configuration?.version ?? 0;
    let error: string | null = null;
    try {
      const encoded = await peers.read(peerAddress, versionBefore);
      if (encoded !== null) {
        const configuration = store.decodeConfiguration(encoded);
        directory.apply({ kind: 'configuration', configuration });
      }
    } catch (cause) {
      error = String(cause);
    }
    const version = directory.configuration?.version ?? 0;
    if (wantedVersion === null && version === versionBefore) {
      return;
    }
    logger.info({
      event: 'configurationRead',
      peerAddress,
      wantedVersion,
      versionBefore,
      version,
      error,
    }, 'read the configuration from another host');
  }
}
