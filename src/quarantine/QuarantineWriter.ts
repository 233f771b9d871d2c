import type { Logger } from 'pino';
import { Backoff } from '../configuration/Backoff.ts';
import type { StoreLease } from '../directory/StoreLease.ts';
import type { HostId } from '../lib/ids.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { Clock } from '../time/Clock.ts';
import { scheduleTimer, type Schedule } from '../time/scheduleTimer.ts';
import type { SuspectId } from './SuspectId.ts';
import type { CrashReport, QuarantineStore } from './QuarantineStore.ts';
import { CRASH_TTL_MS } from './SuspectTable.ts';

/** Options of a {@link QuarantineWriter}. */
export interface QuarantineWriterOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  readonly store: QuarantineStore;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Runs an action after a delay; replaced in tests. */
  readonly schedule?: Schedule;
}

interface WrittenRecord<Value> {
  readonly value: Value;
  /** Monotonic time of the write. */
  readonly atMs: number;
}

/** Fraction of a lease's TTL after which new records get a new lease, so that they last long. */
const LEASE_USE_FRACTION = 0.5;
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1_000;
/** Pending and written records of each kind that are kept; the oldest are dropped first. */
const MAX_PENDING = 1_000;

/** Writes crashes and answered requests to the store for the other hosts, retrying on failures. */
export class QuarantineWriter {
  readonly #options: QuarantineWriterOptions;

  readonly #backoff: Backoff;

  readonly #crashes = new Map<string, CrashReport>();

  readonly #cleared = new Set<SuspectId>();

  /** Records in the store, which are written again when the store has lost them. */
  readonly #writtenCrashes = new Map<string, WrittenRecord<CrashReport>>();

  readonly #writtenCleared = new Map<string, WrittenRecord<SuspectId>>();

  #lease: { readonly lease: StoreLease; readonly createdAtMs: number } | null = null;

  #isWriting = false;

  #isClosed = false;

  /**
   * @param options - see {@link QuarantineWriterOptions}
   */
  constructor(options: QuarantineWriterOptions) {
    this.#options = options;
    this.#backoff = new Backoff(options.random, {
      minDelayMs: MIN_RETRY_DELAY_MS, maxDelayMs: MAX_RETRY_DELAY_MS,
    });
  }

  /**
   * Queues a crash report.
   *
   * @param report - the report; replaces this host's pending report of the same crash
   */
  addCrash(report: CrashReport): void {
    this.#crashes.delete(report.crashId);
    this.#crashes.set(report.crashId, report);
    const [oldest] = this.#crashes.keys();
    if (oldest !== undefined && this.#crashes.size > MAX_PENDING) {
      this.#crashes.delete(oldest);
    }
    this.#start();
  }

  /**
   * Queues the clearing of a request.
   *
   * @param suspectId - a request that was answered
   */
  addCleared(suspectId: SuspectId): void {
    this.#cleared.add(suspectId);
    const [oldest] = this.#cleared;
    if (oldest !== undefined && this.#cleared.size > MAX_PENDING) {
      this.#cleared.delete(oldest);
    }
    this.#start();
  }

  /** Writes the records again that a store which came back from an older copy may have lost. */
  restore(): void {
    this.#lease = null;
    const oldestMs = this.#options.clock.getMonotonicMs() - CRASH_TTL_MS;
    const getCurrent = <Value>(records: ReadonlyMap<string, WrittenRecord<Value>>): Value[] => (
      [...records.values()].filter(({ atMs }) => atMs > oldestMs).map(({ value }) => value));
    getCurrent(this.#writtenCrashes)
      .filter(({ crashId }) => !this.#crashes.has(crashId))
      .forEach((report) => this.addCrash(report));
    getCurrent(this.#writtenCleared).forEach((suspectId) => this.addCleared(suspectId));
  }

  /** Stops writing. */
  close(): void {
    this.#isClosed = true;
  }

  get #hasPending(): boolean {
    return !this.#isClosed && (this.#crashes.size > 0 || this.#cleared.size > 0);
  }

  #start(): void {
    if (this.#isWriting || !this.#hasPending) {
      return;
    }
    this.#isWriting = true;
    this.#writeNext()
      .then(() => {
        this.#backoff.reset();
        this.#scheduleNext(0);
      })
      .catch((error: unknown) => {
        this.#options.logger.warn(
          { event: 'quarantineNotWritten', error: String(error) },
          'writing a crash or an answered request to the store failed; retrying',
        );
        this.#scheduleNext(this.#backoff.getNextDelayMs());
      });
  }

  #scheduleNext(delayMs: number): void {
    const { schedule = scheduleTimer } = this.#options;
    schedule(delayMs, () => {
      this.#isWriting = false;
      this.#start();
    });
  }

  /** Writes crashes before answers: a crash recorded after the answer would count again. */
  async #writeNext(): Promise<void> {
    const { store, hostId } = this.#options;
    const lease = await this.#getLease();
    const report = [...this.#crashes.values()][0];
    const [suspectId] = this.#cleared;
    if (report !== undefined) {
      this.#checkLease(await store.writeCrash(report, hostId, lease));
      this.#remember(this.#writtenCrashes, report.crashId, report);
      // A newer report may have replaced it during the write.
      if (this.#crashes.get(report.crashId) === report) {
        this.#crashes.delete(report.crashId);
      }
    } else if (suspectId !== undefined) {
      this.#checkLease(await store.writeCleared(suspectId, lease));
      this.#remember(this.#writtenCleared, suspectId, suspectId);
      this.#cleared.delete(suspectId);
    }
  }

  #remember<Value>(
    records: Map<string, WrittenRecord<Value>>,
    key: string,
    value: Value,
  ): void {
    records.delete(key);
    records.set(key, { value, atMs: this.#options.clock.getMonotonicMs() });
    const [oldest] = records.keys();
    if (oldest !== undefined && records.size > MAX_PENDING) {
      records.delete(oldest);
    }
  }

  #checkLease(result: 'renewed' | 'ended'): void {
    if (result === 'ended') {
      this.#lease = null;
      throw new Error('the lease of the quarantine records has expired; the retry creates one');
    }
  }

  async #getLease(): Promise<StoreLease> {
    const { clock, store } = this.#options;
    const known = this.#lease;
    const ageMs = known === null ? Infinity : clock.getMonotonicMs() - known.createdAtMs;
    if (known !== null && ageMs < CRASH_TTL_MS * LEASE_USE_FRACTION) {
      return known.lease;
    }
    const createdAtMs = clock.getMonotonicMs();
    const lease = await store.createLease(CRASH_TTL_MS);
    this.#lease = { lease, createdAtMs };
    return lease;
  }
}
