const MICROS_PER_UNIT = 1_000_000;
const MONEY_DIGITS = 6;
const PERCENT = 100;

/**
 * Formats an amount of money with six decimals.
 *
 * @param costMicros - amount in millionths of the billing currency
 * @returns the amount in units of the currency, such as `0.001200`
 */
export function formatMoney(costMicros: number): string {
  return (costMicros / MICROS_PER_UNIT).toFixed(MONEY_DIGITS);
}

/**
 * Formats a fraction as a percentage with one decimal.
 *
 * @param fraction - between 0 and 1
 * @returns the percentage, such as `99.5 %`
 */
export function formatPercent(fraction: number): string {
  return `${(fraction * PERCENT).toFixed(1)} %`;
}
