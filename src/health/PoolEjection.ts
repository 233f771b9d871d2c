import type { CoreContext } from '../core/CoreContext.ts';
import { GlrDetector } from '../detection/GlrDetector.ts';
import type { RateDetector } from '../detection/RateDetector.ts';
import type { UpstreamId } from '../lib/ids.ts';

/** How failing upstreams are taken out of their pool. */
export interface PoolEjectionOptions {
  /** Length of the ticks over which errors are counted. */
  readonly tickMs: number;
  /** First ejection; doubles with each further one. */
  readonly ejectMs: number;
  /** Longest ejection. */
  readonly maxEjectMs: number;
  /** Time without an alarm after which the next ejection is a first one again. */
  readonly backoffResetMs: number;
  /** Part of the pool above which nothing is ejected: the fault is not in single upstreams. */
  readonly maxEjectedFraction: number;
  /** An upstream is ejected only when it fails this many times as often as its pool. */
  readonly poolRateFactor: number;
  /**
   * @param isSuspected - whether the upstream was ejected of late, so that less evidence suffices
   * @returns a detector of failures for one upstream
   */
  readonly createDetector: (isSuspected: boolean) => RateDetector;
}

const TUNED_RATE_CHANGE = { baseRate: 0.02, raisedRate: 0.2 };
const ALARM_THRESHOLD = 12;
/** About two failures: the head start of a suspect (Lucas and Crosier 1982). */
const RECENTLY_EJECTED_THRESHOLD = 4;

/** Defaults of ejection. */
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
  /** Smoothed part of its attempts that fail. */
  rate: number;
  ejectedUntilMs: number;
  ejectionCount: number;
}

/**
 * Takes upstreams with many failures out of their pool for a while, never a whole pool. The alarm
 * is the GLR scheme of Han, Mei and Tsui, formula (3): docs/decisions tells how it was chosen.
 *
 * ```ts
 * ejection.note(upstreamId, failure !== null);
 * ejection.tick().forEach(refresh);        // at getNextWakeMs(): upstreams out or back in
 * if (!ejection.isEjected(upstreamId)) ...
 * ```
 */
export class PoolEjection {
  readonly #context: CoreContext;

  readonly #options: PoolEjectionOptions;

  readonly #statistics = new Map<UpstreamId, UpstreamStatistics>();

  /** Upstreams with attempts in the running tick. */
  readonly #activeUpstreams = new Set<UpstreamId>();

  readonly #ejected = new Set<UpstreamId>();

  #memberCount = 0;

  /** Smoothed part of all attempts of the pool that fail. */
  #poolRate = 0;

  #tickEndsAtMs = Infinity;

  /**
   * @param context - the time of the step
   * @param options - how upstreams are taken out; what is left out takes its default
   */
  constructor(context: CoreContext, options: Partial<PoolEjectionOptions> = {}) {
    this.#context = context;
    this.#options = { ...DEFAULT_POOL_EJECTION_OPTIONS, ...options };
  }

  /**
   * @param count - upstreams of the pool that are in service
   */
  setMemberCount(count: number): void {
    this.#memberCount = count;
  }

  /**
   * @param upstreamId - the upstream
   * @returns whether it gets no work now
   */
  isEjected(upstreamId: UpstreamId): boolean {
    return this.#ejected.has(upstreamId);
  }

  /**
   * Counts an attempt that ended.
   *
   * @param upstreamId - where it ran
   * @param isError - whether the upstream failed it
   */
  recordAttempt(upstreamId: UpstreamId, isError: boolean): void {
    const suspect = this.#getOrCreateStatistics(upstreamId);
    suspect.offered += 1;
    suspect.errors += isError ? 1 : 0;
    const value = isError ? 1 : 0;
    suspect.rate += UPSTREAM_RATE_SMOOTHING * (value - suspect.rate);
    this.#poolRate += POOL_RATE_SMOOTHING * (value - this.#poolRate);
    this.#activeUpstreams.add(upstreamId);
    if (this.#tickEndsAtMs === Infinity) {
      this.#tickEndsAtMs = this.#context.getNowMs() + this.#options.tickMs;
    }
  }

  /**
   * Forgets an upstream: it was removed, or it has started anew.
   *
   * @param upstreamId - the upstream
   */
  release(upstreamId: UpstreamId): void {
    this.#statistics.delete(upstreamId);
    this.#activeUpstreams.delete(upstreamId);
    this.#ejected.delete(upstreamId);
  }

  /**
   * Does what is due.
   *
   * @returns the upstreams that were ejected or came back
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
    const suspect = this.#getOrCreateStatistics(upstreamId);
    if (suspect.ejectionCount > 0 && this.#isBackoffOver(suspect)) {
      suspect.ejectionCount = 0;
      suspect.detector = this.#options.createDetector(false);
    }
    const isAlarmed = suspect.detector.addTick(suspect.offered, suspect.errors);
    suspect.offered = 0;
    suspect.errors = 0;
    const exceedsPoolRate = suspect.rate >= this.#poolRate * this.#options.poolRateFactor;
    return isAlarmed && exceedsPoolRate && !this.#ejected.has(upstreamId);
  }

  #isBackoffOver(suspect: UpstreamStatistics): boolean {
    return this.#context.getNowMs() >= suspect.ejectedUntilMs + this.#options.backoffResetMs;
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
    const suspect = this.#getOrCreateStatistics(upstreamId);
    const { ejectMs, maxEjectMs } = this.#options;
    const durationMs = Math.min(maxEjectMs, ejectMs * 2 ** suspect.ejectionCount);
    suspect.ejectionCount += 1;
    suspect.ejectedUntilMs = nowMs + durationMs;
    suspect.detector = this.#options.createDetector(true);
    this.#ejected.add(upstreamId);
  }

  #endEjection(upstreamId: UpstreamId, nowMs: number): boolean {
    return nowMs >= this.#getOrCreateStatistics(upstreamId).ejectedUntilMs
      && this.#ejected.delete(upstreamId);
  }
}
