import type { Logger } from 'pino';
import type { Clock } from '../time/Clock.ts';
import type { DirectoryStore } from './DirectoryStore.ts';
import type { HostEntry } from './HostEntry.ts';
import type { StoreLease } from './StoreLease.ts';

/** Timing of a host's registration. */
export interface HostRegistrationOptions {
  /** Time after which the entry of a host that stopped renewing it expires. */
  readonly leaseTtlMs: number;
  /** Interval between two renewals. */
  readonly renewEveryMs: number;
}

/** Defaults of {@link HostRegistrationOptions}. */
export const DEFAULT_HOST_REGISTRATION_OPTIONS: HostRegistrationOptions = {
  leaseTtlMs: 6_000,
  renewEveryMs: 2_000,
};

/** Registers this host in the store and renews its entry, by which other hosts find it. */
export class HostRegistration {
  readonly #clock: Clock;

  readonly #store: DirectoryStore;

  readonly #getEntry: () => HostEntry;

  readonly #logger: Logger;

  readonly #options: HostRegistrationOptions;

  #lease: StoreLease | null = null;

  #timer: NodeJS.Timeout | null = null;

  #isStopped = false;

  /** Whether the last renewal failed. */
  #isFailing = false;

  /** Start of the last call that confirmed the entry; null while no entry is confirmed. */
  #confirmedAtMs: number | null = null;

  /**
   * @param clock - tells when the store confirms the entry
   * @param store - receives the entry
   * @param getEntry - returns the entry as it is to be written now
   * @param logger - receives a line at each registration
   * @param options - the lease time and the renewal interval
   */
  constructor(
    clock: Clock,
    store: DirectoryStore,
    getEntry: () => HostEntry,
    logger: Logger,
    options: HostRegistrationOptions = DEFAULT_HOST_REGISTRATION_OPTIONS,
  ) {
    this.#clock = clock;
    this.#store = store;
    this.#getEntry = getEntry;
    this.#logger = logger;
    this.#options = options;
  }

  /** Time since the entry was last confirmed; null when it never was, or was withdrawn. */
  get confirmedAgoMs(): number | null {
    return this.#confirmedAtMs === null
      ? null
      : this.#clock.getMonotonicMs() - this.#confirmedAtMs;
  }

  /** Registers the host and renews its entry periodically. */
  async start(): Promise<void> {
    clearTimeout(this.#timer ?? undefined);
    this.#timer = null;
    try {
      await this.#renew();
      this.#isFailing = false;
    } catch (error) {
      this.#recordFailure(error);
    }
    if (!this.#isStopped) {
      this.#timer = setTimeout(() => this.#restart(), this.#options.renewEveryMs);
    }
  }

  /** Renews the entry at once; for a host whose entry the store may have lost. */
  renewNow(): void {
    // Without a pending timer the host is not started, is stopped, or renews its entry already.
    if (this.#timer !== null) {
      this.#restart();
    }
  }

  /** Withdraws the entry, so that the other hosts stop using this host at once. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#confirmedAtMs = null;
    clearTimeout(this.#timer ?? undefined);
    this.#timer = null;
    const lease = this.#lease;
    this.#lease = null;
    if (lease !== null) {
      await this.#store.endLease(lease);
    }
  }

  /** Logs the first of several failures in a row. */
  #recordFailure(error: unknown): void {
    if (!this.#isFailing) {
      this.#isFailing = true;
      this.#logger.warn(
        { event: 'registrationFailed', error: String(error) },
        'the entry of this host could not be written or renewed; retrying',
      );
    }
  }

  #restart(): void {
    this.start().catch((error: unknown) => {
      this.#logger.error(
        { event: 'registrationFailed', error: String(error) },
        'the renewal of the host entry ended unexpectedly',
      );
    });
  }

  async #renew(): Promise<void> {
    const requestedAtMs = this.#clock.getMonotonicMs();
    if (this.#lease !== null && await this.#store.renewLease(this.#lease) === 'renewed') {
      this.#confirmedAtMs = this.#isStopped ? null : requestedAtMs;
      return;
    }
    this.#confirmedAtMs = null;
    this.#lease = null;
    const lease = await this.#store.createLease(this.#options.leaseTtlMs);
    if (this.#isStopped) {
      return;
    }
    if (await this.#store.writeHost(this.#getEntry(), lease) === 'renewed') {
      this.#lease = lease;
      this.#confirmedAtMs = requestedAtMs;
      this.#logger.info(
        { event: 'hostRegistered', leaseId: lease.id, storeEra: lease.era },
        'registered this host in the store',
      );
    }
  }
}
