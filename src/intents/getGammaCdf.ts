/**
 * Distribution function of the standard normal distribution, by Abramowitz and Stegun 26.2.17
 * (error below 7.5e-8).
 *
 * @param x - any number
 * @returns the probability of a value of at most x
 */
export function getNormalCdf(x: number): number {
  const t = 1 / (1 + 0.2316419 * Math.abs(x));
  const polynomial = t * (0.319381530 + t * (-0.356563782
    + t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))));
  const tail = (Math.exp((-x * x) / 2) / Math.sqrt(2 * Math.PI)) * polynomial;
  return x >= 0 ? 1 - tail : tail;
}

/**
 * Distribution function of the gamma distribution with a given mean and variance, by the
 * approximation of Wilson and Hilferty (the cube root is nearly normal).
 *
 * @param value - a value of at least 0
 * @param mean - of the distribution
 * @param variance - of the distribution
 * @returns the probability of at most the value
 */
export function getGammaCdf(value: number, mean: number, variance: number): number {
  if (variance <= 0) {
    return value >= mean ? 1 : 0;
  }
  const ninth = variance / (9 * mean ** 2);
  return getNormalCdf((Math.cbrt(value / mean) - (1 - ninth)) / Math.sqrt(ninth));
}
