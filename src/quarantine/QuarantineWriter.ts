import type { Logger } from 'pino';
import { Backoff } from '../configuration/Backoff.ts';
import type { HostId } from '../lib/ids.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { Clock } from '../time/Clock.ts';
import { scheduleTimer, type Schedule } from '../time/scheduleTimer.ts';
import type { CrashReport, QuarantineStore } from './QuarantineStore.ts';
import { CRASH_TTL_MS } from './SuspectTable.ts';

/** What a writer is made of. */
export interface QuarantineWriterOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  readonly store: QuarantineStore;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Runs an action later; replaced in tests. */
  readonly schedule?: Schedule;
}

/** Part of a lease's time after which new records get another one, so that they stand long. */
const LEASE_USE_FRACTION = 0.5;
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1_000;
/** Records that wait for the store; the oldest go first. */
const MAX_PENDING = 1_000;

/** Tells the other hosts of crashes and of answered requests, as soon as the store can. */
export class QuarantineWriter {
  readonly #options: QuarantineWriterOptions;

  readonly #backoff: Backoff;

  readonly #crashes = new Map<string, CrashReport>();

  readonly #cleared = new Set<string>();

  #lease: { readonly id: number; readonly createdAtMs: number } | null = null;

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

  /** @param report - replaces what this host has told of the same crash */
  addCrash(report: CrashReport): void {
    this.#crashes.delete(report.crashId);
    this.#crashes.set(report.crashId, report);
    const [oldest] = this.#crashes.keys();
    if (oldest !== undefined && this.#crashes.size > MAX_PENDING) {
      this.#crashes.delete(oldest);
    }
    this.#start();
  }

  /** @param fingerprint - a request that was answered */
  addCleared(fingerprint: string): void {
    this.#cleared.add(fingerprint);
    const [oldest] = this.#cleared;
    if (oldest !== undefined && this.#cleared.size > MAX_PENDING) {
      this.#cleared.delete(oldest);
    }
    this.#start();
  }

  /** Writes no more. */
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
          'the other hosts were not told of a crash; trying again',
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

  /** Crashes go before answers: a record of a crash that comes later would count again. */
  async #writeNext(): Promise<void> {
    const { store, hostId } = this.#options;
    const leaseId = await this.#getLease();
    const report = [...this.#crashes.values()][0];
    const [fingerprint] = this.#cleared;
    if (report !== undefined) {
      this.#checkLease(await store.writeCrash(report, hostId, leaseId));
      // It may have been replaced meanwhile.
      if (this.#crashes.get(report.crashId) === report) {
        this.#crashes.delete(report.crashId);
      }
    } else if (fingerprint !== undefined) {
      this.#checkLease(await store.writeCleared(fingerprint, leaseId));
      this.#cleared.delete(fingerprint);
    }
  }

  #checkLease(result: 'renewed' | 'ended'): void {
    if (result === 'ended') {
      this.#lease = null;
      throw new Error('the lease has ended');
    }
  }

  async #getLease(): Promise<number> {
    const { clock, store } = this.#options;
    const lease = this.#lease;
    const ageMs = lease === null ? Infinity : clock.getMonotonicMs() - lease.createdAtMs;
    if (lease !== null && ageMs < CRASH_TTL_MS * LEASE_USE_FRACTION) {
      return lease.id;
    }
    const createdAtMs = clock.getMonotonicMs();
    const id = await store.createLease(CRASH_TTL_MS);
    this.#lease = { id, createdAtMs };
    return id;
  }
}
