import type { RepeatBounds } from './RepeatBounds.ts';
import {
  ARRIVAL_KIND, type ArrivalKind, type ArrivalRecord, type CallerRecord,
} from './SoakRecord.ts';

/** The window of a service with most arrivals beyond the first, against what it may get. */
export interface RepeatWindow {
  /** End of the window. */
  readonly atMs: number;
  readonly repeatCount: number;
  /** Requests that the fraction is taken of. */
  readonly baseCount: number;
  readonly allowed: number;
  /** Repeats by the host that took the request from its caller. */
  readonly byHost: Readonly<Record<string, number>>;
}

/** What arrived at one service. */
export interface RepeatReport {
  readonly service: string;
  readonly arrivalCount: number;
  readonly firstCount: number;
  readonly repeatsByKind: Readonly<Partial<Record<ArrivalKind, number>>>;
  /** Null when nothing arrived beyond the first time. */
  readonly worst: RepeatWindow | null;
}

/** Windows before the one that is looked at which may give the base, in windows. */
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
 * Counts what arrived at each service more than once, in sliding windows. The base is what callers
 * sent for the service, whether it arrived or not; where pieces arrive, it is the pieces that
 * arrived for the first time, since no caller asks for those.
 *
 * @param arrivals - what the upstreams have read
 * @param callers - what callers have sent; the kind of a request names its service
 * @param bounds - how much may arrive more than once
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
