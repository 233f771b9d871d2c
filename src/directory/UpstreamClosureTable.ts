import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamLifetime } from './UpstreamEntry.ts';

interface LeavingRecord {
  /** Start of the process that leaves; null when it is not known, and then of all of that id. */
  readonly startedAtMs: number | null;
  readonly notedAtMs: number;
}

/** How long a record is kept at least; by then a leaving process has long ended. */
const RECORD_TTL_MS = 900_000;
/** How long an upstream is spared after its back-off. */
const REOPENING_MS = 1_000;
/** Records of one sort before those that lapsed are looked for. */
const MAX_COUNT_BEFORE_CLEANUP = 1_024;

/**
 * What upstreams have told this host themselves: that they leave, or that they want nothing for a
 * while. Nothing that is read elsewhere, earlier or later, takes it back.
 */
export class UpstreamClosureTable {
  readonly #clock: Clock;

  readonly #leaving = new Map<UpstreamId, LeavingRecord>();

  readonly #backOffUntilMs = new Map<UpstreamId, number>();

  /**
   * @param clock - dates what upstreams say
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param lifetime - a process that has said that it leaves
   * @returns whether that is news
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
   * @returns whether it has said that it leaves, or one has that started later under its id
   */
  isLeaving({ id, startedAtMs }: UpstreamLifetime): boolean {
    const record = this.#leaving.get(id);
    if (record === undefined) {
      return false;
    }
    // An entry with an earlier start is an old one, read late.
    return record.startedAtMs === null
      || startedAtMs === null
      || startedAtMs <= record.startedAtMs;
  }

  /**
   * @param id - an upstream that wants nothing for a while
   * @param durationMs - how long from now
   * @returns whether that is longer than it has asked for before
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
   * @returns how much longer it wants nothing; 0 when it may be asked
   */
  getBackOffMs(id: UpstreamId): number {
    const untilMs = this.#backOffUntilMs.get(id) ?? -Infinity;
    return Math.max(0, untilMs - this.#clock.getMonotonicMs());
  }

  /**
   * @param id - an upstream
   * @returns whether its back-off has ended a moment ago, so that what waited for it is let go
   * little by little
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
    const lapsedMs = this.#clock.getMonotonicMs() - RECORD_TTL_MS;
    this.#leaving.forEach(({ notedAtMs }, id) => {
      if (notedAtMs <= lapsedMs) {
        this.#leaving.delete(id);
      }
    });
    this.#backOffUntilMs.forEach((untilMs, id) => {
      if (untilMs <= lapsedMs) {
        this.#backOffUntilMs.delete(id);
      }
    });
  }
}
