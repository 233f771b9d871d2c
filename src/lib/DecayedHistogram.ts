const BUCKETS_PER_DOUBLING = 8;
const BUCKET_COUNT = 192;
/** Weights are scaled down when the weight of a new value exceeds this. */
const RESCALE_WEIGHT = 1e9;

/** A cached quantile is recomputed once the total weight has grown by this fraction. */
const QUANTILE_REFRESH_GROWTH = 1 / 64;

/** A quantile and the total weight at the time of its computation. */
interface CachedQuantile {
  readonly value: number;
  readonly total: number;
}

/** Options of a {@link DecayedHistogram}. */
export interface DecayedHistogramOptions {
  /** Time after which the weight of a value has halved. */
  readonly halfLifeMs: number;
}

/** Defaults of {@link DecayedHistogramOptions}. */
export const DEFAULT_DECAYED_HISTOGRAM_OPTIONS: DecayedHistogramOptions = {
  halfLifeMs: 30_000,
};

function getBucket(value: number): number {
  const bucket = Math.ceil(Math.log2(Math.max(1, value)) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKET_COUNT - 1, bucket);
}

/**
 * Histogram that computes streaming quantiles of recent values with exponential forward decay
 * (Cormode et al. 2009), in logarithmic buckets of 9% width. Values below 1 count as 1.
 */
export class DecayedHistogram {
  readonly #options: DecayedHistogramOptions;

  readonly #weights = new Float64Array(BUCKET_COUNT);

  #total = 0;

  #landmarkMs = 0;

  readonly #quantiles = new Map<number, CachedQuantile>();

  /**
   * @param options - defaults: {@link DEFAULT_DECAYED_HISTOGRAM_OPTIONS}
   */
  constructor(options: Partial<DecayedHistogramOptions> = {}) {
    this.#options = { ...DEFAULT_DECAYED_HISTOGRAM_OPTIONS, ...options };
  }

  /**
   * Returns the decayed number of values.
   *
   * @param nowMs - the current time
   * @returns the sum of the values' decayed weights, a new value counting 1
   */
  getCount(nowMs: number): number {
    return this.#total / this.#getWeight(nowMs);
  }

  /**
   * Adds a value.
   *
   * @param value - the value
   * @param nowMs - the current time
   */
  add(value: number, nowMs: number): void {
    if (this.#total === 0) {
      this.#landmarkMs = nowMs;
    }
    if (this.#getWeight(nowMs) > RESCALE_WEIGHT) {
      this.#rescale(nowMs);
    }
    const weight = this.#getWeight(nowMs);
    const bucket = getBucket(value);
    this.#weights[bucket] = (this.#weights[bucket] ?? 0) + weight;
    this.#total += weight;
  }

  /**
   * Returns a quantile; it may be cached, see `QUANTILE_REFRESH_GROWTH`.
   *
   * @param quantile - between 0 and 1
   * @returns the upper bound of the bucket that contains the quantile; null when empty
   */
  getQuantile(quantile: number): number | null {
    if (this.#total === 0) {
      return null;
    }
    const cached = this.#quantiles.get(quantile);
    if (cached !== undefined && this.#total <= cached.total * (1 + QUANTILE_REFRESH_GROWTH)) {
      return cached.value;
    }
    const value = this.#computeQuantile(quantile);
    this.#quantiles.set(quantile, { value, total: this.#total });
    return value;
  }

  #computeQuantile(quantile: number): number {
    const targetWeight = this.#total * quantile;
    let sum = 0;
    const bucket = this.#weights.findIndex((weight) => {
      sum += weight;
      return weight > 0 && sum >= targetWeight;
    });
    return 2 ** ((bucket < 0 ? BUCKET_COUNT - 1 : bucket) / BUCKETS_PER_DOUBLING);
  }

  #getWeight(nowMs: number): number {
    return 2 ** ((nowMs - this.#landmarkMs) / this.#options.halfLifeMs);
  }

  #rescale(nowMs: number): void {
    const scale = 1 / this.#getWeight(nowMs);
    this.#quantiles.clear();
    this.#weights.forEach((weight, bucket) => {
      this.#weights[bucket] = weight * scale;
    });
    this.#total *= scale;
    this.#landmarkMs = nowMs;
  }
}
