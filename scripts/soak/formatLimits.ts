import type { LimitReport } from './measureLimits.ts';

/**
 * Formats the reports on advertised limits.
 *
 * @param reports - load of upstreams while they advertised limits
 * @returns a line for each service: the load nearest to the bound, and the fraction used
 */
export function formatLimits(reports: readonly LimitReport[]): string[] {
  const services = [...new Set(reports.map(({ service }) => service))];
  return services.map((service) => {
    const own = reports.filter((report) => report.service === service);
    const [nearest] = [...own].sort((left, right) => (
      (right.mostCount - right.allowedCount) - (left.mostCount - left.allowedCount)));
    const used = own.filter(({ mostCount }) => mostCount > 0)
      .flatMap(({ usedPart, requestsPerSecond }) => (
        usedPart === null ? [] : [`${usedPart} of ${requestsPerSecond}/s`]));
    const backs = own.flatMap(({ backAfterMs }) => (backAfterMs === null ? [] : [backAfterMs]));
    const others = own.reduce((sum, { otherCount }) => sum + otherCount, 0);
    return `limits of ${service}: ${own.length} spans, most ${nearest?.mostCount ?? 0} in 4 s of `
      + `${nearest?.allowedCount ?? 0} at ${nearest?.requestsPerSecond ?? 0}/s, used `
      + `${used.join(', ') || 'not measured'}; recovered after `
      + `${backs.join(', ') || '?'} ms; ${others} health checks and releases`;
  });
}
