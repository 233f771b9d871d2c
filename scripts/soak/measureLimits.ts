import { CONTACT_MS } from './measureCrashes.ts';
import {
  ARRIVAL_KIND, LIMITED_KIND, type LimitArrival, type LimitSpan, type LimitNoticeRecord,
  type SoakRecord,
} from './SoakRecord.ts';

/** What an upstream got while it named one limit. */
export interface LimitReport {
  readonly service: string;
  readonly upstreamId: string;
  readonly requestsPerSecond: number;
  /** Most that it got in a window from hosts that it had told. */
  readonly mostCount: number;
  readonly allowedCount: number;
  /** What it got once hosts had to know, as a part of the limit; null where that was short. */
  readonly usedPart: number | null;
  /** How soon it was back at half of the others' part, at least, after the limit was lifted. */
  readonly backAfterMs: number | null;
  /** Checks and freed results beside that, which are not counted. */
  readonly otherCount: number;
}

/** The bound of the users' rule: in a window, this multiple of what the limit allows, and a few. */
const WINDOW_MS = 4_000;
const OVERSHOOT = 1.5;
const SLACK = 5;
/** A host that was told a moment ago may have sent before. */
const IN_FLIGHT_ALLOWANCE_MS = 500;
const MS_PER_SECOND = 1_000;
/** Time after the end of a limit in which the upstream's part is looked at, and how. */
const RECOVERY_PERIOD_MS = 6_000;
const RECOVERY_WINDOW_MS = 1_000;
const RECOVERY_STEP_MS = 250;

function isRecent(
  { fromMs, untilMs }: { readonly fromMs: number; readonly untilMs: number },
  atMs: number,
): boolean {
  return fromMs <= atMs && untilMs >= atMs - CONTACT_MS;
}

/** Says which host sent an arrival; stage calls come from the one that places, which moves. */
class ArrivalSenders {
  readonly #record: SoakRecord;

  readonly #hosts: ReadonlyMap<string, number>;

  constructor(record: SoakRecord) {
    this.#record = record;
    this.#hosts = new Map(record.callers.map(({ requestId, hostIndex }) => [requestId, hostIndex]));
  }

  /** The sender as far as it is known; undefined stands for the host that places. */
  get({ kind, requestId }: LimitArrival | LimitNoticeRecord): number | undefined {
    return kind === LIMITED_KIND.request ? this.#hosts.get(requestId) : undefined;
  }

  /** A host that stood still a moment ago, or a link that did, is not held to the limit. */
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

/** Null where the upstream was not there for long enough after it, or another limit stood. */
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
 * Measures what reached upstreams while they named a limit.
 *
 * @param record - what callers and upstreams have seen
 * @returns a report for each span of each limit
 */
export function measureLimits(record: SoakRecord): LimitReport[] {
  const senders = new ArrivalSenders(record);
  return record.limitSpans.map((span) => measureLimit(record, senders, span));
}
