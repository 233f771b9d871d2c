import { CONTACT_MS } from './measureCrashes.ts';
import {
  ARRIVAL_KIND, LIMITED_KIND, type LimitArrival, type LimitSpan, type LimitNoticeRecord,
  type SoakRecord,
} from './SoakRecord.ts';

/** Load of an upstream while it advertised one limit. */
export interface LimitReport {
  readonly service: string;
  readonly upstreamId: string;
  readonly requestsPerSecond: number;
  /** Most arrivals in a window from hosts that knew the limit. */
  readonly mostCount: number;
  readonly allowedCount: number;
  /** Fraction of the limit used once hosts had to know it; null if that time was too short. */
  readonly usedPart: number | null;
  /** Time from the end of the limit until it got at least half of the others' mean load. */
  readonly backAfterMs: number | null;
  /** Health checks and releases of results, which the limit does not count. */
  readonly otherCount: number;
}

/** Bound of the users' rule: a multiple of the limit in a window, plus a constant. */
const WINDOW_MS = 4_000;
const OVERSHOOT = 1.5;
const SLACK = 5;
/** Requests that a host sent before it got the notice may still arrive in this time. */
const IN_FLIGHT_ALLOWANCE_MS = 500;
const MS_PER_SECOND = 1_000;
/** Period, window and step in which the load is measured after the end of a limit. */
const RECOVERY_PERIOD_MS = 6_000;
const RECOVERY_WINDOW_MS = 1_000;
const RECOVERY_STEP_MS = 250;

function isRecent(
  { fromMs, untilMs }: { readonly fromMs: number; readonly untilMs: number },
  atMs: number,
): boolean {
  return fromMs <= atMs && untilMs >= atMs - CONTACT_MS;
}

/** Finds the host that sent an arrival; stage calls come from the placing host, which changes. */
class ArrivalSenders {
  readonly #record: SoakRecord;

  readonly #hosts: ReadonlyMap<string, number>;

  constructor(record: SoakRecord) {
    this.#record = record;
    this.#hosts = new Map(record.callers.map(({ requestId, hostIndex }) => [requestId, hostIndex]));
  }

  /** Returns the index of the sender; undefined stands for the placing host. */
  get({ kind, requestId }: LimitArrival | LimitNoticeRecord): number | undefined {
    return kind === LIMITED_KIND.request ? this.#hosts.get(requestId) : undefined;
  }

  /** Exempts arrivals from a host that was suspended recently or through a faulty link. */
  isExempt(arrival: LimitArrival): boolean {
    const sender = this.get(arrival);
    return this.#record.hostSpans.some((span) => (
      (sender === undefined || span.hostIndex === sender) && isRecent(span, arrival.atMs)))
      || this.#record.linkSpans.some((span) => (
        span.upstreamId === arrival.upstreamId && isRecent(span, arrival.atMs)));
  }
}

function getFirstNoticeAtMs(
  notices: readonly LimitNoticeRecord[],
  senders: ArrivalSenders,
): Map<number | undefined, number> {
  const firstNoticeAtMs = new Map<number | undefined, number>();
  notices.forEach((notice) => {
    const sender = senders.get(notice);
    firstNoticeAtMs.set(sender, Math.min(firstNoticeAtMs.get(sender) ?? Infinity, notice.atMs));
  });
  return firstNoticeAtMs;
}

function getMostInWindow(timesMs: readonly number[]): number {
  let start = 0;
  let most = 0;
  timesMs.forEach((atMs, index) => {
    while ((timesMs[start] ?? 0) < atMs - WINDOW_MS) {
      start += 1;
    }
    most = Math.max(most, index - start + 1);
  });
  return most;
}

/** Null if the upstream did not run for long enough afterwards, or another limit applied. */
function measureRecoveryMs(record: SoakRecord, span: LimitSpan): number | null {
  const { upstreamId, service, untilMs } = span;
  const arrivals = record.arrivals.filter((arrival) => (
    arrival.service === service
    && arrival.kind !== ARRIVAL_KIND.piece
    && arrival.atMs >= untilMs
    && arrival.atMs < untilMs + RECOVERY_PERIOD_MS));
  const isDisturbed = (
    (arrivals.at(-1)?.atMs ?? 0) < untilMs + RECOVERY_PERIOD_MS - RECOVERY_WINDOW_MS
  )
    || record.limitSpans.some((other) => other !== span && other.service === service
      && other.fromMs < untilMs + RECOVERY_PERIOD_MS && other.untilMs > untilMs);
  const ids = [...new Set(arrivals.map((arrival) => arrival.upstreamId))];
  if (isDisturbed || ids.length < 2) {
    return null;
  }
  for (let fromMs = untilMs; fromMs < untilMs + RECOVERY_PERIOD_MS; fromMs += RECOVERY_STEP_MS) {
    const within = arrivals
      .filter(({ atMs }) => atMs >= fromMs && atMs < fromMs + RECOVERY_WINDOW_MS);
    const own = within.filter((arrival) => arrival.upstreamId === upstreamId).length;
    const othersMean = (within.length - own) / (ids.length - 1);
    if (own > 0 && own >= othersMean / 2) {
      return fromMs - untilMs;
    }
  }
  return RECOVERY_PERIOD_MS;
}

function measureLimit(record: SoakRecord, senders: ArrivalSenders, span: LimitSpan): LimitReport {
  const { upstreamId, requestsPerSecond } = span;
  const dueAtMs = span.fromMs + CONTACT_MS;
  const arrivals = record.limitArrivals.filter((arrival) => (
    arrival.upstreamId === upstreamId && arrival.atMs >= dueAtMs && arrival.atMs < span.untilMs));
  const counted = arrivals.filter(({ kind }) => kind !== LIMITED_KIND.other);
  const firstNoticeAtMs = getFirstNoticeAtMs(
    record.limitNotices.filter((notice) => notice.upstreamId === upstreamId),
    senders,
  );
  const held = counted.filter((arrival) => (
    (firstNoticeAtMs.get(senders.get(arrival)) ?? Infinity) <= arrival.atMs - IN_FLIGHT_ALLOWANCE_MS
    && !senders.isExempt(arrival)));
  const lastMs = Math.min(span.untilMs, record.limitArrivals.at(-1)?.atMs ?? dueAtMs);
  const usableS = (lastMs - dueAtMs) / MS_PER_SECOND;
  return {
    service: span.service,
    upstreamId,
    requestsPerSecond,
    mostCount: getMostInWindow(held.map(({ atMs }) => atMs)),
    allowedCount: requestsPerSecond * (WINDOW_MS / MS_PER_SECOND) * OVERSHOOT + SLACK,
    usedPart: usableS * MS_PER_SECOND < WINDOW_MS || requestsPerSecond === 0
      ? null
      : Number((counted.length / usableS / requestsPerSecond).toFixed(2)),
    backAfterMs: measureRecoveryMs(record, span),
    otherCount: arrivals.length - counted.length,
  };
}

/**
 * Measures what arrived at upstreams while they advertised a limit.
 *
 * @param record - what callers and upstreams observed
 * @returns a report for each limit span
 */
export function measureLimits(record: SoakRecord): LimitReport[] {
  const senders = new ArrivalSenders(record);
  return record.limitSpans.map((span) => measureLimit(record, senders, span));
}
