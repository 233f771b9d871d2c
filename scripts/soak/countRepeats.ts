import type { RepeatBounds } from './RepeatBounds.ts';
import {
  ARRIVAL_KIND, type ArrivalKind, type ArrivalRecord, type CallerRecord,
} from './SoakRecord.ts';

/** The window of a service in which repeated arrivals exceed the bound most. */
export interface RepeatWindow {
  /** End of the window. */
  readonly atMs: number;
  readonly repeatCount: number;
  /** Number of requests that the allowed fraction applies to. */
  readonly baseCount: number;
  readonly allowed: number;
  /** Repeats by the host that accepted the request. */
  readonly byHost: Readonly<Record<string, number>>;
}

/** Arrivals at one service. */
export interface RepeatReport {
  readonly service: string;
  readonly arrivalCount: number;
  readonly firstCount: number;
  readonly repeatsByKind: Readonly<Partial<Record<ArrivalKind, number>>>;
  /** Null if nothing arrived more than once. */
  readonly worst: RepeatWindow | null;
}

/** Offsets of the earlier windows that may provide the base, in window lengths. */
const BASE_OFFSETS = [0, 0.5, 1];

function countBy(names: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {};
  names.forEach((name) => {
    counts[name] = (counts[name] ?? 0) + 1;
  });
  return counts;
}

function countWithin(timesMs: readonly number[], fromMs: number, untilMs: number): number {
  return timesMs.filter((timeMs) => timeMs > fromMs && timeMs <= untilMs).length;
}

function splitArrivals(
  arrivals: readonly ArrivalRecord[],
): { firsts: ArrivalRecord[]; repeats: ArrivalRecord[] } {
  const seen = new Set<string>();
  const firsts: ArrivalRecord[] = [];
  const repeats: ArrivalRecord[] = [];
  [...arrivals].sort((left, right) => left.atMs - right.atMs).forEach((arrival) => {
    (seen.has(arrival.unit) ? repeats : firsts).push(arrival);
    seen.add(arrival.unit);
  });
  return { firsts, repeats };
}

function findWorstWindow(
  repeats: readonly ArrivalRecord[],
  baseTimesMs: readonly number[],
  hosts: ReadonlyMap<string, number>,
  { ratio, slack, windowMs }: RepeatBounds,
): RepeatWindow | null {
  let worst: RepeatWindow | null = null;
  repeats.forEach(({ atMs }) => {
    const within = repeats.filter((other) => other.atMs > atMs - windowMs && other.atMs <= atMs);
    const baseCount = Math.max(...BASE_OFFSETS.map((offset) => (
      countWithin(baseTimesMs, atMs - windowMs * (1 + offset), atMs - windowMs * offset))));
    const allowed = ratio * baseCount + slack;
    if (worst === null || within.length - allowed > worst.repeatCount - worst.allowed) {
      const byHost = countBy(within.map(({ requestId }) => `host ${hosts.get(requestId) ?? '?'}`));
      worst = {
        atMs, repeatCount: within.length, baseCount, allowed, byHost,
      };
    }
  });
  return worst;
}

/**
 * Counts repeated arrivals at each service in sliding windows. The base is the number of requests
 * that callers sent for the service, whether they arrived or not; for a service of pieces it is
 * the number of first arrivals, since callers do not request pieces.
 *
 * @param arrivals - what the upstreams have read
 * @param callers - requests of callers; the kind of a request is the name of its service
 * @param bounds - bounds on repeats
 * @returns a report for each service
 */
export function countRepeats(
  arrivals: readonly ArrivalRecord[],
  callers: readonly CallerRecord[],
  bounds: RepeatBounds,
): RepeatReport[] {
  const hosts = new Map(callers.map(({ requestId, hostIndex }) => [requestId, hostIndex]));
  return [...new Set(arrivals.map(({ service }) => service))].map((service) => {
    const own = arrivals.filter((arrival) => arrival.service === service);
    const { firsts, repeats } = splitArrivals(own);
    const hasPieces = own.some(({ kind }) => kind === ARRIVAL_KIND.piece);
    const baseTimesMs = hasPieces
      ? firsts.map(({ atMs }) => atMs)
      : callers.filter(({ kind }) => kind === service).map(({ sentAtMs }) => sentAtMs);
    return {
      service,
      arrivalCount: own.length,
      firstCount: firsts.length,
      repeatsByKind: countBy(repeats.map(({ kind }) => kind)),
      worst: findWorstWindow(repeats, baseTimesMs, hosts, bounds),
    };
  });
}
