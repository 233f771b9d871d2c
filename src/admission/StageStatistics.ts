import { DecayedHistogram } from '../lib/DecayedHistogram.ts';

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

  /** Smoothed mean cost in millionths of the billing currency; null before the first run. */
  get meanCostMicros(): number | null {
    return this.#meanCostMicros;
  }

  /**
   * @param costMicros - what a run cost, in millionths of the billing currency
   */
  noteCost(costMicros: number): void {
    const mean = this.#meanCostMicros ?? costMicros;
    this.#meanCostMicros = mean + COST_SMOOTHING * (costMicros - mean);
  }
}
