import { DecayedHistogram } from '../lib/DecayedHistogram.ts';

const LATENCY_SMOOTHING = 0.02;
const COST_SMOOTHING = 0.05;
/** Far below the half-life, so that the count has hardly faded meanwhile. */
const RECOUNT_PERIOD_MS = 250;

/** What one stage took and cost of late. */
export class StageStatistics {
  /** Latencies in milliseconds. */
  readonly latencies: DecayedHistogram;

  #meanCostMicros: number | null = null;

  /**
   * @param halfLifeMs - time after which a measured latency counts half
   */
  constructor(halfLifeMs: number) {
    this.latencies = new DecayedHistogram({ halfLifeMs });
  }

  #meanLatencyMs: number | null = null;

  #measuredAtMs = -Infinity;

  /** Until when the number of runs need not be counted again. */
  #measuredUntilMs = -Infinity;

  /** Monotonic time of the last run; -Infinity before the first. */
  get measuredAtMs(): number {
    return this.#measuredAtMs;
  }

  /** Smoothed mean latency in milliseconds; null before the first run. */
  get meanLatencyMs(): number | null {
    return this.#meanLatencyMs;
  }

  /** Smoothed mean cost in millionths of the billing currency; null before the first run. */
  get meanCostMicros(): number | null {
    return this.#meanCostMicros;
  }

  /**
   * @param nowMs - the time of the step
   * @param minCount - runs needed, each by its faded weight
   * @returns whether enough runs were measured
   */
  isMeasured(nowMs: number, minCount: number): boolean {
    if (nowMs < this.#measuredUntilMs) {
      return true;
    }
    if (this.latencies.getCount(nowMs) < minCount) {
      return false;
    }
    this.#measuredUntilMs = nowMs + RECOUNT_PERIOD_MS;
    return true;
  }

  /**
   * @param latencyMs - how long a run took
   * @param nowMs - when it ended
   */
  recordLatency(latencyMs: number, nowMs: number): void {
    this.#measuredAtMs = nowMs;
    const mean = this.#meanLatencyMs ?? latencyMs;
    this.#meanLatencyMs = mean + LATENCY_SMOOTHING * (latencyMs - mean);
    this.latencies.add(latencyMs, nowMs);
  }

  /**
   * @param costMicros - what a run cost, in millionths of the billing currency
   */
  recordCost(costMicros: number): void {
    const mean = this.#meanCostMicros ?? costMicros;
    this.#meanCostMicros = mean + COST_SMOOTHING * (costMicros - mean);
  }
}
