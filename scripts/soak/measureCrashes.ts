import { ARRIVAL_KIND, type ArrivalRecord, type SoakRecord } from './SoakRecord.ts';

/** Arrivals and crashes of a request that crashes the upstreams which run it. */
export interface CrashReport {
  /** Kind of the request. */
  readonly kind: string;
  readonly body: string;
  /** Number of times that callers sent it. */
  readonly sentCount: number;
  /** Number of upstreams that it crashed. */
  readonly crashCount: number;
  /** Arrivals after hosts had to know the request; a violation if there are more than a few. */
  readonly lateArrivals: readonly ArrivalRecord[];
}

/** Crashes after which hosts have to know the request. */
const MAX_UNKNOWN_CRASHES = 3;
/** Time in which hosts have to know; their settings contain the same value. */
export const CONTACT_MS = 3_000;

/** Whether the host ran and had the store recently; otherwise it is exempt from the bound. */
function wasUndisturbed(record: SoakRecord, hostIndex: number | undefined, atMs: number): boolean {
  const isRecent = (span: { readonly fromMs: number; readonly untilMs: number }): boolean => (
    span.fromMs <= atMs && span.untilMs >= atMs - CONTACT_MS);
  return !record.storeSpans.some(isRecent)
    && !record.hostSpans.some((span) => span.hostIndex === hostIndex && isRecent(span));
}

/**
 * Measures, for each request that crashed upstreams, what arrived after hosts had to know it.
 *
 * @param record - what callers and upstreams observed
 * @returns a report for each request that crashed upstreams
 */
export function measureCrashes(record: SoakRecord): CrashReport[] {
  const callers = new Map(record.callers.map((caller) => [caller.requestId, caller]));
  const getRequestKey = (requestId: string): string => {
    const caller = callers.get(requestId);
    return caller === undefined ? '' : `${caller.kind} ${caller.body}`;
  };
  const requestKeys = new Set(record.crashes.map(({ requestId }) => getRequestKey(requestId)));
  return [...requestKeys].map((requestKey) => {
    const crashes = record.crashes
      .filter(({ requestId }) => getRequestKey(requestId) === requestKey);
    const dueAtMs = (crashes[MAX_UNKNOWN_CRASHES - 1]?.atMs ?? Infinity) + CONTACT_MS;
    const sent = record.callers.filter(({ requestId }) => getRequestKey(requestId) === requestKey);
    return {
      kind: sent[0]?.kind ?? '',
      body: sent[0]?.body ?? '',
      sentCount: sent.length,
      crashCount: crashes.length,
      lateArrivals: record.arrivals.filter(({ kind, requestId, atMs }) => (
        kind !== ARRIVAL_KIND.piece
        && atMs > dueAtMs
        && getRequestKey(requestId) === requestKey
        && wasUndisturbed(record, callers.get(requestId)?.hostIndex, atMs))),
    };
  });
}
