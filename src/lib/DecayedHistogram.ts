const BUCKETS_PER_DOUBLING = 8;
const BUCKET_COUNT = 192;
/** Counts are scaled back when the weight of a new value has grown to this. */
const RESCALE_WEIGHT = 1e9;

/** A quantile is computed anew once the total weight has grown by this part. */
const QUANTILE_REFRESH_GROWTH = 1 / 64;

/** A quantile with the total weight it was computed from. */
interface CachedQuantile {
  readonly value: number;
  readonly total: number;
}

/** How fast old values fade. */
export interface DecayedHistogramOptions {
  /** Time after which a value counts half. */
  readonly halfLifeMs: number;
}

/** Defaults of a decayed histogram. */
export const DEFAULT_DECAYED_HISTOGRAM_OPTIONS: DecayedHistogramOptions = {
  halfLifeMs: 30_000,
};

function getBucket(value: number): number {
  const bucket = Math.ceil(Math.log2(Math.max(1, value)) * BUCKETS_PER_DOUBLING);
  return Math.min(BUCKET_COUNT - 1, bucket);
}

/**
 * Streaming quantiles over recent values with exponential forward decay (Cormode et al. 2009), in
 * logarithmic buckets of 9% width. Values below 1 count as 1.
 */
export class DecayedHistogram {
  readonly #options: DecayedHistogramOptions;

  readonly #weights = new Float64Array(BUCKET_COUNT);

  #total = 0;

  #landmarkMs = 0;

  readonly #quantiles = new Map<number, CachedQuantile>();

  /**
   * @param options - how fast values fade; what is left out takes its default
   */
  constructor(options: Partial<DecayedHistogramOptions> = {}) {
    this.#options = { ...DEFAULT_DECAYED_HISTOGRAM_OPTIONS, ...options };
  }

  /**
   * @param nowMs - the time of the step
   * @returns how many values the histogram holds, each by its faded weight
   */
  getCount(nowMs: number): number {
    return this.#total / this.#getWeight(nowMs);
  }

  /**
   * Adds a value.
   *
   * @param value - the value
   * @param nowMs - the time of the step
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
   * @param quantile - between 0 and 1
   * @returns the upper bound of the bucket with the quantile; null without values
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
    const wanted = this.#total * quantile;
    let sum = 0;
    const bucket = this.#weights.findIndex((weight) => {
      sum += weight;
      return weight > 0 && sum >= wanted;
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
