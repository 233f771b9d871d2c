import type { CoreContext } from '../core/CoreContext.ts';

/** Options of a {@link ConcurrencyLimit}. */
export interface ConcurrencyLimitOptions {
  /** Lowest limit. */
  readonly minLimit: number;
  /** Highest number of samples in a window, after which the limit is adjusted. */
  readonly windowSamples: number;
  /** Multiple of the base latency above which the limit decreases. */
  readonly latencyTolerance: number;
  /** Fraction of the change to a new limit that one window applies. */
  readonly smoothing: number;
  /** Fraction by which the base latency follows a slower window while the limit is in use. */
  readonly busyBaseRise: number;
  /** The same while at most half of the limit is in use: own load is then not the cause. */
  readonly quietBaseRise: number;
  /** Fraction by which the base latency follows a faster window. */
  readonly baseFall: number;
  /** Factor applied to the limit when the upstream refuses an attempt or times out. */
  readonly overloadFactor: number;
  /** Lag of load reports; a report this soon after a decrease counts as older than it. */
  readonly reportLagMs: number;
  /** Queued attempts per running one that an upstream may report without a decrease. */
  readonly queueTolerance: number;
}

/** Defaults of a concurrency limit. */
export const DEFAULT_CONCURRENCY_LIMIT_OPTIONS: ConcurrencyLimitOptions = {
  minLimit: 1,
  windowSamples: 10,
  latencyTolerance: 2,
  smoothing: 0.3,
  busyBaseRise: 0.0005,
  quietBaseRise: 0.05,
  baseFall: 0.3,
  overloadFactor: 0.7,
  reportLagMs: 1_000,
  queueTolerance: 0.5,
};

const MIN_GRADIENT = 0.5;
/** Fraction of the limit that must be in use for the limit to grow. */
const GROWTH_USE = 0.8;
const QUIET_USE = 0.5;
const MIN_WINDOW_SAMPLES = 3;
const SLOW_START_FACTOR = 2;

/** The load that an upstream reported. */
export interface ReportedLoad {
  readonly runningCount: number;
  readonly queuedCount: number;
}

/**
 * Adaptive bound on this host's concurrent attempts at one upstream. The limit follows the latency
 * gradient (base latency × tolerance over the window's mean), decreases on refusals, timeouts and
 * reported queues, and grows by one, or by a fraction of its square root, while it is in use. It
 * doubles with each window until the first decrease (slow start).
 *
 * ```ts
 * if (running < limit.value) send(...);
 * limit.noteLatency(latencyMs, runningCount);
 * limit.noteOverload();                      // refused or timed out
 * limit.noteReport(report);
 * limit.setCap(cap);                         // what the pool and the other hosts leave free
 * limit.restart(initialLimit);               // after a new start or an ejection
 * ```
 */
export class ConcurrencyLimit {
  readonly #context: CoreContext;

  readonly #options: ConcurrencyLimitOptions;

  #limit: number;

  #cap: number;

  #isStarting = true;

  #baseMs: number | null = null;

  #sumMs = 0;

  #sampleCount = 0;

  #peakRunning = 0;

  #decreasedAtMs = -Infinity;

  /**
   * @param context - current time
   * @param initialLimit - the first limit
   * @param cap - the highest limit
   * @param options - options that differ from the defaults
   */
  constructor(
    context: CoreContext,
    initialLimit: number,
    cap: number,
    options: Partial<ConcurrencyLimitOptions> = {},
  ) {
    this.#context = context;
    this.#options = { ...DEFAULT_CONCURRENCY_LIMIT_OPTIONS, ...options };
    this.#limit = initialLimit;
    this.#cap = cap;
  }

  /** Attempts that may run at once. */
  get value(): number {
    const floor = Math.min(this.#options.minLimit, this.#cap);
    return Math.max(floor, Math.min(this.#cap, Math.floor(this.#limit)));
  }

  /**
   * Base latency: the usual latency without queueing; null before the first window.
   */
  get baseLatencyMs(): number | null {
    return this.#baseMs;
  }

  /**
   * @param cap - the highest limit from now on
   */
  setCap(cap: number): void {
    this.#cap = cap;
  }

  /**
   * Restarts the slow start from a low limit, for example after a restart of the upstream.
   *
   * @param initialLimit - the limit to start from
   */
  restart(initialLimit: number): void {
    this.#limit = initialLimit;
    this.#isStarting = true;
    this.#clearWindow();
  }

  /**
   * @param latencyMs - latency of a successful attempt at the upstream
   * @param runningCount - this host's attempts that ran there when it ended, including itself
   */
  recordLatency(latencyMs: number, runningCount: number): void {
    this.#sumMs += latencyMs;
    this.#sampleCount += 1;
    this.#peakRunning = Math.max(this.#peakRunning, runningCount);
    // A window has about as many samples as the limit, so that a low limit adapts as fast.
    const { windowSamples } = this.#options;
    const neededCount = Math.min(windowSamples, Math.max(MIN_WINDOW_SAMPLES, this.value));
    if (this.#sampleCount >= neededCount) {
      this.#endWindow();
    }
  }

  /** Records that the upstream refused an attempt or did not answer it in time. */
  recordOverload(): void {
    // Attempts sent together fail together, so they cause one decrease only.
    if (this.#context.getNowMs() >= this.#decreasedAtMs + (this.#baseMs ?? 0)) {
      this.#decrease(this.#options.overloadFactor);
    }
  }

  /**
   * @param report - attempts of all hosts that run and wait at the upstream, as it reports them
   */
  recordLoadReport(report: ReportedLoad): void {
    const isOld = this.#context.getNowMs() < this.#decreasedAtMs + this.#options.reportLagMs;
    const allowed = Math.ceil(report.runningCount * this.#options.queueTolerance);
    const excess = report.queuedCount - allowed;
    if (isOld || excess <= 0) {
      return;
    }
    const total = report.runningCount + report.queuedCount;
    this.#decrease(Math.max(MIN_GRADIENT, (total - excess) / total));
  }

  #endWindow(): void {
    const meanMs = this.#sumMs / this.#sampleCount;
    const isInUse = this.#peakRunning >= this.value * GROWTH_USE;
    const baseMs = this.#updateBase(meanMs);
    this.#clearWindow();
    const allowedMs = baseMs * this.#options.latencyTolerance;
    const gradient = Math.max(MIN_GRADIENT, Math.min(1, allowedMs / Math.max(1, meanMs)));
    if (gradient < 1) {
      this.#isStarting = false;
    }
    if (gradient === 1 && !isInUse) {
      return;
    }
    if (this.#isStarting) {
      this.#set(this.#limit * SLOW_START_FACTOR);
      return;
    }
    const { smoothing } = this.#options;
    const change = gradient < 1
      ? smoothing * this.#limit * (gradient - 1)
      : Math.max(1, smoothing * Math.sqrt(this.#limit));
    this.#set(this.#limit + change);
  }

  #updateBase(meanMs: number): number {
    const baseMs = this.#baseMs ?? meanMs;
    const isQuiet = this.#peakRunning <= this.value * QUIET_USE;
    const rise = isQuiet ? this.#options.quietBaseRise : this.#options.busyBaseRise;
    const pace = meanMs < baseMs ? this.#options.baseFall : rise;
    this.#baseMs = Math.max(1, baseMs + pace * (meanMs - baseMs));
    return this.#baseMs;
  }

  #decrease(factor: number): void {
    this.#isStarting = false;
    this.#decreasedAtMs = this.#context.getNowMs();
    this.#clearWindow();
    this.#set(this.#limit * factor);
  }

  #set(limit: number): void {
    this.#limit = Math.max(this.#options.minLimit, Math.min(this.#cap, limit));
  }

  #clearWindow(): void {
    this.#sumMs = 0;
    this.#sampleCount = 0;
    this.#peakRunning = 0;
  }
}
