/** Ratio of the bounds of neighbouring buckets. */
const BUCKET_RATIO = 1.2;
/** The last bucket begins at about 27 s and holds all longer times. */
const BUCKET_COUNT = 57;

/** Numbers of answers by latency; index `n` holds those from 1.2^n ms on. */
export type LatencyCounts = readonly number[];

/**
 * @param latencyMs - a latency
 * @returns the bucket that counts it
 */
function getBucket(latencyMs: number): number {
  const bucket = Math.floor(Math.log(Math.max(1, latencyMs)) / Math.log(BUCKET_RATIO));
  return Math.min(BUCKET_COUNT - 1, bucket);
}

/** @returns counts without any answer */
export function createLatencyCounts(): number[] {
  return Array.from({ length: BUCKET_COUNT }, () => 0);
}

/**
 * @param counts - the counts to add an answer to
 * @param latencyMs - its latency
 */
export function addLatency(counts: number[], latencyMs: number): void {
  const bucket = getBucket(latencyMs);

  counts[bucket] = (counts[bucket] ?? 0) + 1;
}

/**
 * @param left - counts of one host
 * @param right - counts of another host
 * @returns their sum
 */
export function mergeLatencies(left: LatencyCounts, right: LatencyCounts): number[] {
  return createLatencyCounts()
    .map((_, bucket) => (left[bucket] ?? 0) + (right[bucket] ?? 0));
}

/**
 * @param counts - the counts
 * @param quantile - from 0 to 1
 * @returns the upper bound of the bucket with the quantile; null without any answer
 */
export function getLatencyQuantileMs(counts: LatencyCounts, quantile: number): number | null {
  const total = counts.reduce((sum, count) => sum + count, 0);
  let seen = 0;
  const bucket = counts.findIndex((count) => {
    seen += count;
    return count > 0 && seen >= total * quantile;
  });
  return bucket < 0 ? null : BUCKET_RATIO ** (bucket + 1);
}
