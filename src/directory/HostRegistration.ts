import type { Logger } from 'pino';
import type { Clock } from '../time/Clock.ts';
import type { DirectoryStore } from './DirectoryStore.ts';
import type { HostEntry } from './HostEntry.ts';

/** How a host keeps its entry. */
export interface HostRegistrationOptions {
  /** How long the entry outlives its host. */
  readonly leaseTtlMs: number;
  /** Pause between two renewals. */
  readonly renewEveryMs: number;
}

/** Defaults of {@link HostRegistrationOptions}. */
export const DEFAULT_HOST_REGISTRATION_OPTIONS: HostRegistrationOptions = {
  leaseTtlMs: 6_000,
  renewEveryMs: 2_000,
};

/** Keeps the entry by which the other hosts find this one. */
export class HostRegistration {
  readonly #clock: Clock;

  readonly #store: DirectoryStore;

  readonly #entry: HostEntry;

  readonly #logger: Logger;

  readonly #options: HostRegistrationOptions;

  #leaseId: number | null = null;

  #timer: NodeJS.Timeout | null = null;

  #isStopped = false;

  /** When the call was made by which the store confirmed the entry last; null before. */
  #confirmedAtMs: number | null = null;

  /**
   * @param clock - dates what the store confirms
   * @param store - where the entry stands
   * @param entry - the entry
   * @param logger - gets a line at each registration
   * @param options - how long and how often
   */
  constructor(
    clock: Clock,
    store: DirectoryStore,
    entry: HostEntry,
    logger: Logger,
    options: HostRegistrationOptions = DEFAULT_HOST_REGISTRATION_OPTIONS,
  ) {
    this.#clock = clock;
    this.#store = store;
    this.#entry = entry;
    this.#logger = logger;
    this.#options = options;
  }

  /** How long ago the entry certainly stood; null when it never did, or was taken back. */
  get confirmedAgoMs(): number | null {
    return this.#confirmedAtMs === null
      ? null
      : this.#clock.getMonotonicMs() - this.#confirmedAtMs;
  }

  /** Registers, and renews from then on. */
  async start(): Promise<void> {
    try {
      await this.#renew();
    } catch (error) {
      this.#logger.debug(
        { event: 'registrationFailed', error: String(error) },
        'the host is not registered; trying again',
      );
    }
    if (!this.#isStopped) {
      this.#timer = setTimeout(() => {
        this.start().catch((error: unknown) => {
          this.#logger.error(
            { event: 'registrationFailed', error: String(error) },
            'the renewal loop ended',
          );
        });
      }, this.#options.renewEveryMs);
    }
  }

  /** Takes the entry back, so that the others turn elsewhere at once. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#confirmedAtMs = null;
    if (this.#timer !== null) {
      clearTimeout(this.#timer);
    }
    const leaseId = this.#leaseId;
    this.#leaseId = null;
    if (leaseId !== null) {
      await this.#store.endLease(leaseId);
    }
  }

  async #renew(): Promise<void> {
    const askedAtMs = this.#clock.getMonotonicMs();
    if (this.#leaseId !== null && await this.#store.renewLease(this.#leaseId) === 'renewed') {
      this.#confirmedAtMs = this.#isStopped ? null : askedAtMs;
      return;
    }
    this.#confirmedAtMs = null;
    this.#leaseId = null;
    const leaseId = await this.#store.createLease(this.#options.leaseTtlMs);
    if (this.#isStopped) {
      return;
    }
    if (await this.#store.writeHost(this.#entry, leaseId) === 'renewed') {
      this.#leaseId = leaseId;
      this.#confirmedAtMs = askedAtMs;
      this.#logger.info({ event: 'hostRegistered', leaseId }, 'registered with the other hosts');
    }
  }
}
