import type { CoreContext } from '../core/CoreContext.ts';
import { GlrDetector } from '../detection/GlrDetector.ts';
import type { RateDetector } from '../detection/RateDetector.ts';
import type { UpstreamId } from '../lib/ids.ts';

/** Options of the ejection of failing upstreams. */
export interface PoolEjectionOptions {
  /** Duration of the ticks over which errors are counted. */
  readonly tickMs: number;
  /** Duration of the first ejection; doubles with each further one. */
  readonly ejectMs: number;
  /** Maximum duration of an ejection. */
  readonly maxEjectMs: number;
  /** Time after an ejection after which the next one has the first duration again. */
  readonly backoffResetMs: number;
  /** Fraction of the pool above which none is ejected, as the fault is not in single upstreams. */
  readonly maxEjectedFraction: number;
  /** Ratio of an upstream's failure rate to its pool's from which on it may be ejected. */
  readonly poolRateFactor: number;
  /**
   * Creates a failure detector for one upstream.
   *
   * @param wasRecentlyEjected - whether it was ejected recently, so that less evidence suffices
   * @returns the detector
   */
  readonly createDetector: (wasRecentlyEjected: boolean) => RateDetector;
}

const TUNED_RATE_CHANGE = { baseRate: 0.02, raisedRate: 0.2 };
const ALARM_THRESHOLD = 12;
/** About two failures: the head start after an ejection (Lucas and Crosier 1982). */
const RECENTLY_EJECTED_THRESHOLD = 4;

/** Default options of the ejection. */
export const DEFAULT_POOL_EJECTION_OPTIONS: PoolEjectionOptions = {
  tickMs: 500,
  ejectMs: 5_000,
  maxEjectMs: 60_000,
  backoffResetMs: 60_000,
  maxEjectedFraction: 0.5,
  poolRateFactor: 2.5,
  createDetector: (wasRecentlyEjected) => new GlrDetector(
    TUNED_RATE_CHANGE,
    wasRecentlyEjected ? RECENTLY_EJECTED_THRESHOLD : ALARM_THRESHOLD,
  ),
};

const UPSTREAM_RATE_SMOOTHING = 0.1;
const POOL_RATE_SMOOTHING = 0.01;

interface UpstreamStatistics {
  detector: RateDetector;
  offered: number;
  errors: number;
  /** Smoothed fraction of its attempts that fail. */
  rate: number;
  ejectedUntilMs: number;
  ejectionCount: number;
}

/**
 * Ejects upstreams with many failures from their pool for a bounded time, never the whole pool. The
 * alarm is the GLR scheme of Han, Mei and Tsui, formula (3); docs/decisions explains the choice.
 *
 * ```ts
 * ejection.recordAttempt(upstreamId, failure !== null);
 * ejection.tick().forEach(refresh);        // at getNextWakeMs(): upstreams ejected or restored
 * if (!ejection.isEjected(upstreamId)) ...
 * ```
 */
export class PoolEjection {
  readonly #context: CoreContext;

  readonly #options: PoolEjectionOptions;

  readonly #statistics = new Map<UpstreamId, UpstreamStatistics>();

  /** Upstreams with attempts in the current tick. */
  readonly #activeUpstreams = new Set<UpstreamId>();

  readonly #ejected = new Set<UpstreamId>();

  #memberCount = 0;

  /** Smoothed fraction of the pool's attempts that fail. */
  #poolRate = 0;

  #tickEndsAtMs = Infinity;

  /**
   * @param context - time of the step
   * @param options - options of the ejection; omitted ones take their defaults
   */
  constructor(context: CoreContext, options: Partial<PoolEjectionOptions> = {}) {
    this.#context = context;
    this.#options = { ...DEFAULT_POOL_EJECTION_OPTIONS, ...options };
  }

  /**
   * Sets the size of the pool.
   *
   * @param count - number of upstreams that are in service
   */
  setMemberCount(count: number): void {
    this.#memberCount = count;
  }

  /**
   * Checks whether an upstream is ejected.
   *
   * @param upstreamId - the upstream
   * @returns whether it currently gets no attempts
   */
  isEjected(upstreamId: UpstreamId): boolean {
    return this.#ejected.has(upstreamId);
  }

  /**
   * Records the end of an attempt.
   *
   * @param upstreamId - the upstream of the attempt
   * @param isError - whether the upstream failed it
   */
  recordAttempt(upstreamId: UpstreamId, isError: boolean): void {
    const statistics = this.#getOrCreateStatistics(upstreamId);
    statistics.offered += 1;
    statistics.errors += isError ? 1 : 0;
    const value = isError ? 1 : 0;
    statistics.rate += UPSTREAM_RATE_SMOOTHING * (value - statistics.rate);
    this.#poolRate += POOL_RATE_SMOOTHING * (value - this.#poolRate);
    this.#activeUpstreams.add(upstreamId);
    if (this.#tickEndsAtMs === Infinity) {
      this.#tickEndsAtMs = this.#context.getNowMs() + this.#options.tickMs;
    }
  }

  /**
   * Releases the statistics of an upstream that was removed or has restarted.
   *
   * @param upstreamId - the upstream
   */
  release(upstreamId: UpstreamId): void {
    this.#statistics.delete(upstreamId);
    this.#activeUpstreams.delete(upstreamId);
    this.#ejected.delete(upstreamId);
  }

  /**
   * Runs the ejections and restorations that are due.
   *
   * @returns the upstreams that were ejected or restored
   */
  tick(): UpstreamId[] {
    const nowMs = this.#context.getNowMs();
    const changed = [...this.#ejected].filter((id) => this.#endEjection(id, nowMs));
    if (nowMs >= this.#tickEndsAtMs) {
      this.#tickEndsAtMs = Infinity;
      const alarmed = [...this.#activeUpstreams].filter((id) => this.#endTick(id));
      this.#activeUpstreams.clear();
      changed.push(...this.#ejectAll(alarmed, nowMs));
    }
    return changed;
  }

  /**
   * Gets the time of the next periodic work.
   *
   * @returns when the next tick is due; Infinity for never
   */
  getNextWakeMs(): number {
    const returns = [...this.#ejected].map((id) => this.#getOrCreateStatistics(id).ejectedUntilMs);
    return Math.min(this.#tickEndsAtMs, ...returns);
  }

  #getOrCreateStatistics(upstreamId: UpstreamId): UpstreamStatistics {
    const known = this.#statistics.get(upstreamId);
    if (known !== undefined) {
      return known;
    }
    const created: UpstreamStatistics = {
      detector: this.#options.createDetector(false),
      offered: 0,
      errors: 0,
      rate: 0,
      ejectedUntilMs: -Infinity,
      ejectionCount: 0,
    };
    this.#statistics.set(upstreamId, created);
    return created;
  }

  #endTick(upstreamId: UpstreamId): boolean {
    const statistics = this.#getOrCreateStatistics(upstreamId);
    if (statistics.ejectionCount > 0 && this.#isBackoffOver(statistics)) {
      statistics.ejectionCount = 0;
      statistics.detector = this.#options.createDetector(false);
    }
    const isAlarmed = statistics.detector.addTick(statistics.offered, statistics.errors);
    statistics.offered = 0;
    statistics.errors = 0;
    const exceedsPoolRate = statistics.rate >= this.#poolRate * this.#options.poolRateFactor;
    return isAlarmed && exceedsPoolRate && !this.#ejected.has(upstreamId);
  }

  #isBackoffOver(statistics: UpstreamStatistics): boolean {
    return this.#context.getNowMs() >= statistics.ejectedUntilMs + this.#options.backoffResetMs;
  }

  #ejectAll(alarmed: readonly UpstreamId[], nowMs: number): UpstreamId[] {
    const maxEjectedCount = Math.floor(this.#memberCount * this.#options.maxEjectedFraction);
    if (alarmed.length + this.#ejected.size > maxEjectedCount) {
      return [];
    }
    alarmed.forEach((id) => this.#eject(id, nowMs));
    return [...alarmed];
  }

  #eject(upstreamId: UpstreamId, nowMs: number): void {
    const statistics = this.#getOrCreateStatistics(upstreamId);
    const { ejectMs, maxEjectMs } = this.#options;
    const durationMs = Math.min(maxEjectMs, ejectMs * 2 ** statistics.ejectionCount);
    statistics.ejectionCount += 1;
    statistics.ejectedUntilMs = nowMs + durationMs;
    statistics.detector = this.#options.createDetector(true);
    this.#ejected.add(upstreamId);
  }

  #endEjection(upstreamId: UpstreamId, nowMs: number): boolean {
    return nowMs >= this.#getOrCreateStatistics(upstreamId).ejectedUntilMs
      && this.#ejected.delete(upstreamId);
  }
}
