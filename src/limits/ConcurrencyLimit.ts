import type { CoreContext } from '../core/CoreContext.ts';

/** How a concurrency limit adapts. */
export interface ConcurrencyLimitOptions {
  /** Lowest limit. */
  readonly minLimit: number;
  /** Samples after which the limit is adjusted at the latest. */
  readonly windowSamples: number;
  /** How much longer than the base latency answers may take before the limit falls. */
  readonly latencyTolerance: number;
  /** Part of the way to a new limit that one window goes. */
  readonly smoothing: number;
  /** Part of the base latency's distance to a higher window that it follows while in use. */
  readonly busyBaseRise: number;
  /** The same while at most half of the limit was in use, so that own load explains nothing. */
  readonly quietBaseRise: number;
  /** Part of the base latency's distance to a lower window that it follows. */
  readonly baseFall: number;
  /** The limit is multiplied by this when the upstream refuses or does not answer in time. */
  readonly overloadFactor: number;
  /** Lag of load reports: a report within this time after a fall is taken for older than it. */
  readonly reportLagMs: number;
  /** Waiting attempts for each running one that an upstream may report without a fall. */
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
/** Part of the limit that must have been in use for the limit to grow. */
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
 * How many attempts this host may run at one upstream at once. The limit follows the gradient of
 * the latency (base latency × tolerance over the window's mean), falls on refusals, timeouts and
 * reported queues, and grows by one, or a part of its root, while it is in use. Until the first
 * fall it doubles with each window.
 *
 * ```ts
 * if (running < limit.value) send(...);
 * limit.noteLatency(latencyMs, runningCount);
 * limit.noteOverload();                      // refused or timed out
 * limit.noteReport(report);
 * limit.setCap(cap);                         // what the pool and the other hosts leave
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
   * @param context - the time of the step
   * @param initialLimit - the first limit
   * @param cap - the highest limit
   * @param options - how it adapts; what is left out takes its default
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
   * Usual latency without waiting, in milliseconds; null before the first window.
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
   * Starts again from a low limit, as after a new start of the upstream.
   *
   * @param initialLimit - the limit to start from
   */
  restart(initialLimit: number): void {
    this.#limit = initialLimit;
    this.#isStarting = true;
    this.#clearWindow();
  }

  /**
   * @param latencyMs - how long a successful attempt took at the upstream
   * @param runningCount - attempts of this host that ran there when it ended, itself included
   */
  recordLatency(latencyMs: number, runningCount: number): void {
    this.#sumMs += latencyMs;
    this.#sampleCount += 1;
    this.#peakRunning = Math.max(this.#peakRunning, runningCount);
    // A window is about one round of the running attempts, so that a low limit adapts as fast.
    const { windowSamples } = this.#options;
    const neededCount = Math.min(windowSamples, Math.max(MIN_WINDOW_SAMPLES, this.value));
    if (this.#sampleCount >= neededCount) {
      this.#endWindow();
    }
  }

  /** Notes that the upstream refused an attempt or did not answer it in time. */
  recordOverload(): void {
    // The attempts that were sent together fail together; they are one sign.
    if (this.#context.getNowMs() >= this.#decreasedAtMs + (this.#baseMs ?? 0)) {
      this.#decrease(this.#options.overloadFactor);
    }
  }

  /**
   * @param report - what the upstream says runs and waits there, of all hosts
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
