import type { RepeatReport } from './countRepeats.ts';

/**
 * @param report - what arrived at a service more than once
 * @param loggedCount - repeats that the hosts say they have sent there
 * @returns a line for a person, with the worst window and what was left of the bound there
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
