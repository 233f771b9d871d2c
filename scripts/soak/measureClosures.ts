import {
  ARRIVAL_KIND, type ArrivalRecord, type NoticeRecord, type SoakRecord,
} from './SoakRecord.ts';

/** A measured value, and where it was measured. */
export interface ClosureFigure {
  readonly value: number;
  readonly upstreamId: string;
  readonly hostIndex: number;
  readonly requestId: string;
}

/** Largest figures for upstreams that announce that they leave or ask for a back-off. */
export interface ClosureReport {
  /** Number of notices sent to a host whose requests the upstream could still get. */
  readonly leavingCount: number;
  readonly backOffCount: number;
  /** Longest time from the notice to the caller's send of a request that still arrived. */
  readonly latestAfterLeaving: ClosureFigure | null;
  /** Most arrivals from one host between half a second after the notice and its end. */
  readonly mostInBackOff: ClosureFigure | null;
}

/** Time in which requests that were in flight when a back-off began may still arrive. */
const IN_FLIGHT_ALLOWANCE_MS = 500;

interface HostNotice extends NoticeRecord {
  readonly hostIndex: number;
}

function getLarger(left: ClosureFigure | null, right: ClosureFigure): ClosureFigure {
  return left === null || right.value > left.value ? right : left;
}

/** Finds the notices of one kind whose receiving host is known. */
function findHostNotices(
  { notices }: SoakRecord,
  hosts: ReadonlyMap<string, number>,
  kind: NoticeRecord['kind'],
): HostNotice[] {
  return notices.flatMap((notice) => {
    const hostIndex = hosts.get(notice.requestId);
    return notice.kind === kind && hostIndex !== undefined ? [{ ...notice, hostIndex }] : [];
  });
}

/** Exempts an arrival if its host stopped or was suspended meanwhile, or its link was faulty. */
function isExempt(record: SoakRecord, notice: HostNotice, arrivedAtMs: number): boolean {
  const isWithin = (span: { readonly fromMs: number; readonly untilMs: number }): boolean => (
    span.fromMs <= arrivedAtMs && span.untilMs >= notice.atMs);
  return record.hostSpans.some((span) => span.hostIndex === notice.hostIndex && isWithin(span))
    || record.linkSpans.some((span) => span.upstreamId === notice.upstreamId && isWithin(span));
}

/**
 * Measures what arrived at upstreams after they announced that they leave or back off, from the
 * host that got the notice. Pieces are not counted, since they are not sent by the host that
 * accepted the request.
 *
 * @param record - what callers and upstreams observed
 * @returns the largest figures
 */
export function measureClosures(record: SoakRecord): ClosureReport {
  const hosts = new Map(record.callers.map(({ requestId, hostIndex }) => [requestId, hostIndex]));
  const sentAtMs = new Map(record.callers.map((caller) => [caller.requestId, caller.sentAtMs]));
  const leaving = findHostNotices(record, hosts, 'leaving');
  const backOffs = findHostNotices(record, hosts, 'backOff');
  const getArrivals = (notice: HostNotice): ArrivalRecord[] => record.arrivals.filter((arrival) => (
    arrival.kind !== ARRIVAL_KIND.piece
    && arrival.upstreamId === notice.upstreamId
    && hosts.get(arrival.requestId) === notice.hostIndex
    && arrival.atMs > notice.atMs
    && arrival.atMs < notice.untilMs
    && !isExempt(record, notice, arrival.atMs)));
  let latestAfterLeaving: ClosureFigure | null = null;
  leaving.forEach((notice) => getArrivals(notice).forEach(({ requestId }) => {
    latestAfterLeaving = getLarger(latestAfterLeaving, {
      value: (sentAtMs.get(requestId) ?? 0) - notice.atMs,
      upstreamId: notice.upstreamId,
      hostIndex: notice.hostIndex,
      requestId,
    });
  }));
  let mostInBackOff: ClosureFigure | null = null;
  backOffs.forEach((notice) => {
    const late = getArrivals(notice)
      .filter(({ atMs }) => atMs > notice.atMs + IN_FLIGHT_ALLOWANCE_MS);
    mostInBackOff = getLarger(mostInBackOff, {
      value: late.length,
      upstreamId: notice.upstreamId,
      hostIndex: notice.hostIndex,
      requestId: notice.requestId,
    });
  });
  return {
    leavingCount: leaving.length, backOffCount: backOffs.length, latestAfterLeaving, mostInBackOff,
  };
}
