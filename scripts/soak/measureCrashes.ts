import { ARRIVAL_KIND, type ArrivalRecord, type SoakRecord } from './SoakRecord.ts';

/** How often a request that ends whatever runs it got through. */
export interface CrashReport {
  /** What was asked for. */
  readonly kind: string;
  readonly body: string;
  /** Times that callers sent it. */
  readonly sentCount: number;
  /** Upstreams that ended under it. */
  readonly crashCount: number;
  /** Arrivals at upstreams that are too many by the bound, if there are more than a few. */
  readonly lateArrivals: readonly ArrivalRecord[];
}

/** Upstreams that may end before hosts have to know. */
const MAX_UNKNOWN_CRASHES = 3;
/** Time in which hosts have to know; they are told the same in their settings. */
export const CONTACT_MS = 3_000;

/** A host that did not run a moment ago, or had no store, is not held to the bound. */
function wasUndisturbed(record: SoakRecord, hostIndex: number | undefined, atMs: number): boolean {
  const isRecent = (span: { readonly fromMs: number; readonly untilMs: number }): boolean => (
    span.fromMs <= atMs && span.untilMs >= atMs - CONTACT_MS);
  return !record.storeSpans.some(isRecent)
    && !record.hostSpans.some((span) => span.hostIndex === hostIndex && isRecent(span));
}

/**
 * Measures for each request that ended upstreams what reached them after hosts had to know.
 *
 * @param record - what callers and upstreams have seen
 * @returns a report for each request that came again and again
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
