import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { StreamVersionStore } from './StreamVersionStore.ts';

/** Options of {@link EngineLifetimes}. */
export interface EngineLifetimesOptions {
  readonly clock: Clock;
  readonly directory: Pick<Directory, 'ageMs'>;
  readonly store: Pick<StreamVersionStore, 'readUpstream'>;
  readonly logger: Logger;
}

/** An exchange with an engine that has not ended. */
export interface EngineContact {
  /** Records that bytes of the engine have arrived. */
  recordData(): void;
  /** Records that the exchange has ended. */
  close(): void;
}

/** How it is known that an engine still runs as its entry says, or why it is not. */
export type LifetimeProof = 'exchange' | 'store' | 'changed' | 'storeUnavailable';

/** A time on both clocks: the monotonic one stands still while the machine is suspended. */
interface Moment {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

interface OpenExchange {
  readonly sentAt: Moment;
  dataAt: Moment | null;
}

/** An engine takes longer than this to start again. */
const MAX_DATA_AGE_MS = 500;
/** Time for which the store is not asked again after it gave no answer. */
const UNAVAILABLE_TTL_MS = 500;
/** Longest wait for the store; the caller of a broken stream waits meanwhile. */
const READ_TIMEOUT_MS = 400;

/**
 * Proves that an engine still is the process that its entry describes, before a stream goes on
 * there. Load pattern: engines start again under their ids with other software while this host does
 * not hear of it, since the store turns it away or it stood still. An exchange with the engine that
 * was open when the store last confirmed the directory, and still brings bytes, is such a proof:
 * no connection outlives its process. Otherwise the store is asked.
 */
export class EngineLifetimes {
  readonly #options: EngineLifetimesOptions;

  readonly #openExchanges = new Map<UpstreamId, Set<OpenExchange>>();

  readonly #reads = new Map<UpstreamId, Promise<UpstreamEntry | null>>();

  #unavailableAtMs = -Infinity;

  /**
   * @param options - see {@link EngineLifetimesOptions}
   */
  constructor(options: EngineLifetimesOptions) {
    this.#options = options;
  }

  /**
   * @param upstreamId - an engine that a request is sent to
   * @returns the exchange, whose progress has to be recorded
   */
  openContact(upstreamId: UpstreamId): EngineContact {
    const exchange: OpenExchange = { sentAt: this.#getMoment(), dataAt: null };
    const exchanges = this.#openExchanges.get(upstreamId) ?? new Set();
    this.#openExchanges.set(upstreamId, exchanges.add(exchange));
    return {
      recordData: () => {
        exchange.dataAt = this.#getMoment();
      },
      close: () => {
        exchanges.delete(exchange);
        if (exchanges.size === 0 && this.#openExchanges.get(upstreamId) === exchanges) {
          this.#openExchanges.delete(upstreamId);
        }
      },
    };
  }

  /**
   * @param entry - the entry of an engine in this host's directory
   * @returns whether the engine still runs as the entry says, and how that is known
   */
  async prove(entry: UpstreamEntry): Promise<LifetimeProof> {
    if (this.#isWitnessed(entry.id)) {
      return 'exchange';
    }
    if (this.#options.clock.getMonotonicMs() - this.#unavailableAtMs < UNAVAILABLE_TTL_MS) {
      return 'storeUnavailable';
    }
    try {
      const stored = await this.#read(entry.id);
      const isSame = stored !== null
        && stored.startedAtMs === entry.startedAtMs
        && stored.softwareVersion === entry.softwareVersion;
      return isSame ? 'store' : 'changed';
    } catch (error) {
      this.#unavailableAtMs = this.#options.clock.getMonotonicMs();
      this.#options.logger.warn(
        { event: 'lifetimeNotRead', upstreamId: entry.id, error: String(error) },
        'the store did not tell whether an engine still runs; streams do not go on there',
      );
      return 'storeUnavailable';
    }
  }

  #isWitnessed(upstreamId: UpstreamId): boolean {
    const { ageMs } = this.#options.directory;
    if (ageMs === null) {
      return false;
    }
    return [...this.#openExchanges.get(upstreamId) ?? []].some(({ sentAt, dataAt }) => (
      dataAt !== null
      && this.#options.clock.getMonotonicMs() - sentAt.monotonicMs >= ageMs
      && this.#getAgeMs(dataAt) <= MAX_DATA_AGE_MS));
  }

  /** Reads an entry; calls share a read that has not ended. */
  #read(upstreamId: UpstreamId): Promise<UpstreamEntry | null> {
    const open = this.#reads.get(upstreamId);
    if (open !== undefined) {
      return open;
    }
    const read = this.#readInTime(upstreamId).finally(() => this.#reads.delete(upstreamId));
    this.#reads.set(upstreamId, read);
    return read;
  }

  async #readInTime(upstreamId: UpstreamId): Promise<UpstreamEntry | null> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_, reject) => {
      timer = setTimeout(
        () => reject(new Error(`no answer within ${READ_TIMEOUT_MS} ms`)),
        READ_TIMEOUT_MS,
      );
    });
    try {
      return await Promise.race([this.#options.store.readUpstream(upstreamId), timeout]);
    } finally {
      clearTimeout(timer);
    }
  }

  #getMoment(): Moment {
    const { clock } = this.#options;
    return { monotonicMs: clock.getMonotonicMs(), wallMs: clock.getWallMs() };
  }

  #getAgeMs({ monotonicMs, wallMs }: Moment): number {
    const now = this.#getMoment();
    return Math.max(now.monotonicMs - monotonicMs, Math.abs(now.wallMs - wallMs));
  }
}
