import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamLifetime } from './UpstreamEntry.ts';

interface LeavingRecord {
  /** Start of the leaving process; null when unknown, which covers all processes of the id. */
  readonly startedAtMs: number | null;
  readonly notedAtMs: number;
}

/** Shortest time for which a record is kept; a leaving process ends well before that. */
const RECORD_TTL_MS = 900_000;
/** Time after a back-off during which waiting requests are released gradually. */
const REOPENING_MS = 1_000;
/** Number of records of one kind above which expired records are deleted. */
const MAX_COUNT_BEFORE_CLEANUP = 1_024;

/**
 * Keeps the notices of upstreams to this host that they are leaving or ask for a back-off. No entry
 * read from the store, earlier or later, overrides them.
 */
export class UpstreamClosureTable {
  readonly #clock: Clock;

  readonly #leaving = new Map<UpstreamId, LeavingRecord>();

  readonly #backOffUntilMs = new Map<UpstreamId, number>();

  /**
   * @param clock - tells when back-offs end and records expire
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records that a process is leaving.
   *
   * @param lifetime - the process
   * @returns whether that was unknown before
   */
  recordLeaving(lifetime: UpstreamLifetime): boolean {
    if (this.isLeaving(lifetime)) {
      return false;
    }
    const { id, startedAtMs } = lifetime;
    this.#leaving.set(id, { startedAtMs, notedAtMs: this.#clock.getMonotonicMs() });
    this.#deleteExpired(this.#leaving.size);
    return true;
  }

  /**
   * @param lifetime - a process
   * @returns whether it, or a process that started later under its id, announced that it leaves
   */
  isLeaving({ id, startedAtMs }: UpstreamLifetime): boolean {
    const record = this.#leaving.get(id);
    if (record === undefined) {
      return false;
    }
    // An entry with an earlier start is outdated.
    return record.startedAtMs === null
      || startedAtMs === null
      || startedAtMs <= record.startedAtMs;
  }

  /**
   * Records a back-off.
   *
   * @param id - the upstream that asks for it
   * @param durationMs - its duration from now
   * @returns whether it ends later than the known one
   */
  recordBackOff(id: UpstreamId, durationMs: number): boolean {
    const untilMs = this.#clock.getMonotonicMs() + durationMs;
    if (untilMs <= (this.#backOffUntilMs.get(id) ?? -Infinity)) {
      return false;
    }
    this.#backOffUntilMs.set(id, untilMs);
    this.#deleteExpired(this.#backOffUntilMs.size);
    return true;
  }

  /**
   * @param id - an upstream
   * @returns the remaining time of its back-off; 0 when requests may be sent
   */
  getBackOffMs(id: UpstreamId): number {
    const untilMs = this.#backOffUntilMs.get(id);
    // Asked for each upstream of a pool, where reading the clock takes most of the time.
    return untilMs === undefined ? 0 : Math.max(0, untilMs - this.#clock.getMonotonicMs());
  }

  /**
   * @param id - an upstream
   * @returns whether its back-off has just ended, so that waiting requests are released gradually
   */
  isReopening(id: UpstreamId): boolean {
    const untilMs = this.#backOffUntilMs.get(id) ?? -Infinity;
    const sinceMs = this.#clock.getMonotonicMs() - untilMs;
    return sinceMs >= 0 && sinceMs < REOPENING_MS;
  }

  #deleteExpired(recordCount: number): void {
    if (recordCount <= MAX_COUNT_BEFORE_CLEANUP) {
      return;
    }
    const expiredBeforeMs = this.#clock.getMonotonicMs() - RECORD_TTL_MS;
    this.#leaving.forEach(({ notedAtMs }, id) => {
      if (notedAtMs <= expiredBeforeMs) {
        this.#leaving.delete(id);
      }
    });
    this.#backOffUntilMs.forEach((untilMs, id) => {
      if (untilMs <= expiredBeforeMs) {
        this.#backOffUntilMs.delete(id);
      }
    });
  }
}
