import type { Directory } from '../directory/Directory.ts';

/**
 * The lowest version of the configuration by which requests to this host may be decided: the newest
 * one that this host has, or by which another host has decided a request of it. Versions only grow,
 * whichever host decides.
 */
export class ConfigurationFloor {
  readonly #directory: Directory;

  #decidedVersion = 0;

  /**
   * @param directory - has the configuration of this host
   */
  constructor(directory: Directory) {
    this.#directory = directory;
  }

  /** The lowest version; 0 when any may decide. */
  get version(): number {
    return Math.max(this.#decidedVersion, this.#directory.configuration?.version ?? 0);
  }

  /** @param version - version by which another host has decided a request of this host */
  recordDecided(version: number): void {
    this.#decidedVersion = Math.max(this.#decidedVersion, version);
  }
}
