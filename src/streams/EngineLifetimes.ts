import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { EngineProbe, ProbeResult } from '../relay/EngineProbe.ts';
import type { Clock } from '../time/Clock.ts';
import { scheduleTimer, type Schedule } from '../time/scheduleTimer.ts';
import { AwaitedEntries } from './AwaitedEntries.ts';
import type { StreamVersionStore } from './StreamVersionStore.ts';

/** Options of {@link EngineLifetimes}. */
export interface EngineLifetimesOptions {
  readonly clock: Clock;
  readonly directory: Pick<Directory, 'getListed' | 'getUpstream' | 'onChange'>;
  readonly store: Pick<StreamVersionStore, 'readUpstream'>;
  readonly probe: Pick<EngineProbe, 'probeKept'>;
  /** Returns the number of kept connections that were opened to an address so far. */
  readonly getConnectCount: (address: string) => number;
  /** Tells whether an engine may be asked now; one that limits its calls may want none. */
  readonly mayAsk: (entry: UpstreamEntry) => boolean;
  /** Called when a process serves streams whose entry has not arrived. */
  readonly onUnlisted: (poolId: PoolId) => void;
  readonly logger: Logger;
  /** Runs an action after a delay; replaced in tests. */
  readonly schedule?: Schedule;
}

/** How it is known that an engine still runs as its entry says, or why it is not. */
export type LifetimeProof = 'report' | 'store' | 'changed' | 'unreachable' | 'storeUnavailable';

/** Receives the software version of an engine's process; null when it could not be asked. */
export type VersionListener = (softwareVersion: string | null) => void;

/** The process that answers on all connections kept to an engine. */
interface KnownProcess {
  readonly address: string;
  readonly startedAtMs: number;
  /** Number of connections opened to the address when it answered. */
  readonly connectCount: number;
}

/**
 * Longest wait for an engine. It takes longer to start again, so that whatever it sent during the
 * wait came from the process that answered.
 */
const REPORT_TIMEOUT_MS = 400;
/** Time for which an engine or the store is not asked again after it gave no answer. */
const FAILED_TTL_MS = 500;
/** Longest wait for the store; the caller of a broken stream waits meanwhile. */
const READ_TIMEOUT_MS = 400;
/** Time in which the entry of a process that has just started usually arrives. */
const LISTING_DELAY_MS = 300;

/**
 * Knows which process of an engine, and so which software version, answers its requests. Load
 * pattern: engines start again under their ids with other software while this host does not hear of
 * it, since it or the engine is cut off from the store, or the store is away. The engine's own
 * report tells when its process started; the entry with that start tells the version. A connection
 * ends with its process, so that the report holds for all connections opened before.
 */
export class EngineLifetimes {
  readonly #options: EngineLifetimesOptions;

  readonly #awaited: AwaitedEntries;

  readonly #known = new Map<UpstreamId, KnownProcess>();

  readonly #probes = new Map<UpstreamId, Promise<ProbeResult>>();

  /** When engines were last asked without an answer. */
  readonly #failedAtMs = new Map<UpstreamId, number>();

  #storeFailedAtMs = -Infinity;

  /**
   * @param options - see {@link EngineLifetimesOptions}
   */
  constructor(options: EngineLifetimesOptions) {
    this.#options = options;
    this.#awaited = new AwaitedEntries(options.clock, options.directory);
    options.directory.onChange((change) => {
      if (change.kind === 'upstreamGone') {
        this.#known.delete(change.upstreamId);
        this.#failedAtMs.delete(change.upstreamId);
      }
    });
  }

  /**
   * Finds the software version of the process that just sent bytes.
   *
   * @param entry - the engine's entry when the request was sent to it
   * @param listener - called with the version, or null if the engine gave no answer; it is called
   * at once if the answer is known, and after a long time perhaps if the entry of the process has
   * not arrived
   * @returns null if the engine need not be asked; else resolves once it has been
   */
  findVersion(entry: UpstreamEntry, listener: VersionListener): Promise<void> | null {
    if (entry.startedAtMs === null) {
      listener(this.#getUnchangedVersion(entry));
      return null;
    }
    const known = this.#getKnown(entry);
    if (known !== null) {
      this.#findListed(entry, known, listener);
      return null;
    }
    return this.#ask(entry).then((startedAtMs) => {
      if (startedAtMs === null) {
        listener(null);
      } else {
        this.#findListed(entry, startedAtMs, listener);
      }
    }).catch((error: unknown) => {
      this.#logNotAsked(entry, String(error));
      listener(null);
    });
  }

  /**
   * @param poolId - a pool
   * @returns whether one of its engines is known to serve at a version that is not known
   */
  isAwaiting(poolId: PoolId): boolean {
    const listed = this.#options.directory.getListed(poolId);
    return this.#awaited.isAwaiting(listed.map(({ entry }) => entry.id));
  }

  /**
   * @param entry - the entry of an engine in this host's directory
   * @returns whether the engine still runs as the entry says, and how that is known
   */
  async prove(entry: UpstreamEntry): Promise<LifetimeProof> {
    if (entry.startedAtMs === null) {
      return this.#proveByStore(entry);
    }
    const startedAtMs = await this.#ask(entry);
    if (startedAtMs === null) {
      return 'unreachable';
    }
    return startedAtMs === entry.startedAtMs ? 'report' : 'changed';
  }

  /** The version of an entry without a start, if the directory still has it. */
  #getUnchangedVersion({ id, softwareVersion }: UpstreamEntry): string | null {
    const current = this.#options.directory.getUpstream(id)?.entry;
    return current === undefined || current.softwareVersion === softwareVersion
      ? softwareVersion
      : null;
  }

  #getKnown({ id, address }: UpstreamEntry): number | null {
    const known = this.#known.get(id);
    const isCurrent = known !== undefined
      && known.address === address
      && known.connectCount === this.#options.getConnectCount(address);
    return isCurrent ? known.startedAtMs : null;
  }

  #findListed(entry: UpstreamEntry, startedAtMs: number, listener: VersionListener): void {
    if (entry.startedAtMs === startedAtMs) {
      listener(entry.softwareVersion);
      return;
    }
    const { schedule = scheduleTimer, logger, onUnlisted } = this.#options;
    if (this.#awaited.find(entry.id, startedAtMs, listener)) {
      return;
    }
    logger.info({
      event: 'engineProcessUnlisted', upstreamId: entry.id, startedAtMs, entry,
    }, 'an engine has started again, and the entry of its process has not arrived');
    schedule(LISTING_DELAY_MS, () => {
      if (!this.#awaited.isListed(entry.id, startedAtMs)) {
        onUnlisted(entry.poolId);
      }
    });
  }

  /** Asks an engine when its process started; null when it gave no answer. */
  async #ask(entry: UpstreamEntry): Promise<number | null> {
    const { clock, mayAsk, getConnectCount } = this.#options;
    const failedAtMs = this.#failedAtMs.get(entry.id) ?? -Infinity;
    const hasFailed = clock.getMonotonicMs() - failedAtMs < FAILED_TTL_MS;
    if (!this.#probes.has(entry.id) && (hasFailed || !mayAsk(entry))) {
      return null;
    }
    const result = await this.#probe(entry);
    const startedAtMs = result.kind === 'answered' ? result.startedAtMs : null;
    if (startedAtMs === null) {
      this.#failedAtMs.set(entry.id, clock.getMonotonicMs());
      this.#logNotAsked(entry, result.kind);
    } else {
      this.#known.set(entry.id, {
        address: entry.address, startedAtMs, connectCount: getConnectCount(entry.address),
      });
    }
    return startedAtMs;
  }

  /** Probes an engine; calls share a probe that has not ended. */
  #probe(entry: UpstreamEntry): Promise<ProbeResult> {
    const open = this.#probes.get(entry.id);
    if (open !== undefined) {
      return open;
    }
    const probe = this.#options.probe.probeKept(entry, REPORT_TIMEOUT_MS)
      .finally(() => this.#probes.delete(entry.id));
    this.#probes.set(entry.id, probe);
    return probe;
  }

  #logNotAsked({ id }: UpstreamEntry, detail: string): void {
    this.#options.logger.info(
      { event: 'engineProcessUnknown', upstreamId: id, detail },
      'an engine did not tell when its process started; its new streams can\'t go on elsewhere',
    );
  }

  async #proveByStore(entry: UpstreamEntry): Promise<LifetimeProof> {
    const { clock, logger } = this.#options;
    if (clock.getMonotonicMs() - this.#storeFailedAtMs < FAILED_TTL_MS) {
      return 'storeUnavailable';
    }
    try {
      const stored = await this.#readInTime(entry.id);
      const isSame = stored !== null
        && stored.startedAtMs === entry.startedAtMs
        && stored.softwareVersion === entry.softwareVersion;
      return isSame ? 'store' : 'changed';
    } catch (error) {
      this.#storeFailedAtMs = clock.getMonotonicMs();
      logger.warn(
        { event: 'lifetimeNotRead', upstreamId: entry.id, error: String(error) },
        'the store did not tell whether an engine still runs; streams do not go on there',
      );
      return 'storeUnavailable';
    }
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
}
