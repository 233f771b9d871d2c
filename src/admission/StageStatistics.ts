import { DecayedHistogram } from '../lib/DecayedHistogram.ts';

const LATENCY_SMOOTHING = 0.02;
const COST_SMOOTHING = 0.05;

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

  /** Smoothed mean latency in milliseconds; null before the first run. */
  get meanLatencyMs(): number | null {
    return this.#meanLatencyMs;
  }

  /** Smoothed mean cost in millionths of the billing currency; null before the first run. */
  get meanCostMicros(): number | null {
    return this.#meanCostMicros;
  }

  /**
   * @param latencyMs - how long a run took
   * @param nowMs - when it ended
   */
  noteLatency(latencyMs: number, nowMs: number): void {
    const mean = this.#meanLatencyMs ?? latencyMs;
    this.#meanLatencyMs = mean + LATENCY_SMOOTHING * (latencyMs - mean);
    this.latencies.add(latencyMs, nowMs);
  }

  /**
   * @param costMicros - what a run cost, in millionths of the billing currency
   */
  noteCost(costMicros: number): void {
    const mean = this.#meanCostMicros ?? costMicros;
    this.#meanCostMicros = mean + COST_SMOOTHING * (costMicros - mean);
  }
}
