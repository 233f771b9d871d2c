import type { RepeatReport } from './countRepeats.ts';

/**
 * Formats a report on repeated arrivals.
 *
 * @param report - the repeated arrivals at a service
 * @param loggedCount - number of repeats to the service that the hosts logged
 * @returns a readable line, with the worst window and its margin to the bound
 */
export function formatRepeats({
  service, arrivalCount, firstCount, repeatsByKind, worst,
}: RepeatReport, loggedCount: number): string {
  const kinds = Object.entries(repeatsByKind).map(([kind, count]) => `${count} ${kind}`).join(', ');
  const counts = `${service}: ${arrivalCount} arrivals, ${firstCount} firsts, `
    + `repeats ${kinds === '' ? 'none' : kinds} (hosts sent ${loggedCount})`;
  if (worst === null) {
    return counts;
  }
  const margin = worst.allowed - worst.repeatCount;
  const hosts = Object.entries(worst.byHost).map(([host, count]) => `${host}: ${count}`).join(', ');
  return `${counts}; worst window ${worst.repeatCount} of ${worst.allowed.toFixed(1)} `
    + `(base ${worst.baseCount}, margin ${margin.toFixed(1)}; ${hosts})`;
}
