import type { HostId } from '../lib/ids.ts';
import { getLatencyQuantileMs, mergeLatencies, type LatencyCounts } from './LatencyCounts.ts';
import { RolloutJudge, type RouteTotals } from './RolloutJudge.ts';
import type {
  RolloutReport, RouteCounts, SideCounts, SlowBounds,
} from './RolloutReport.ts';

/** Answers of other versions that are needed before an answer may count as slow. */
const MIN_LATENCY_COUNT = 20;
/** An answer is slow above both of these multiples of the other versions' quantiles. */
const UPPER_QUARTILE_FACTOR = 2;
const TAIL_FACTOR = 1.3;
const UPPER_QUARTILE = 0.75;
const TAIL_QUANTILE = 0.95;
/** Added to each bound, for jitter of fast answers. */
const JITTER_MS = 30;
/** A host that has reported counts as running for this long, also when its entry is missing. */
const REPORTER_TTL_MS = 4_000;

interface HostReport {
  readonly report: RolloutReport;
  readonly receivedAtMs: number;
}

function addSides(left: SideCounts, right: SideCounts): SideCounts {
  return {
    sentCount: left.sentCount + right.sentCount,
    judgedCount: left.judgedCount + right.judgedCount,
    badCount: left.badCount + right.badCount,
  };
}

function mergeRoutes(left: RouteCounts, right: RouteCounts): RouteCounts {
  return {
    route: left.route,
    target: addSides(left.target, right.target),
    others: addSides(left.others, right.others),
    firstLatencies: mergeLatencies(left.firstLatencies, right.firstLatencies),
    totalLatencies: mergeLatencies(left.totalLatencies, right.totalLatencies),
  };
}

function getSlowBoundMs(latencies: LatencyCounts): number | null {
  const count = latencies.reduce((sum, bucketCount) => sum + bucketCount, 0);
  const middleMs = getLatencyQuantileMs(latencies, UPPER_QUARTILE);
  const tailMs = getLatencyQuantileMs(latencies, TAIL_QUANTILE);
  return count < MIN_LATENCY_COUNT || middleMs === null || tailMs === null
    ? null
    : Math.max(middleMs * UPPER_QUARTILE_FACTOR, tailMs * TAIL_FACTOR) + JITTER_MS;
}

/** The reports of all hosts on one order, and what they show together. */
export class OrderEvidence {
  readonly orderId: string;

  readonly judge = new RolloutJudge();

  /** The newest report of each process. */
  readonly #reports = new Map<string, HostReport>();

  /** The newest report of each host. */
  readonly #hosts = new Map<HostId, HostReport>();

  /**
   * @param orderId - the order
   */
  constructor(orderId: string) {
    this.orderId = orderId;
  }

  /**
   * @param report - a report of a host on this order
   * @param nowMs - the current time
   */
  add(report: RolloutReport, nowMs: number): void {
    const received = { report, receivedAtMs: nowMs };
    this.#reports.set(`${report.hostId} ${report.processId}`, received);
    this.#hosts.set(report.hostId, received);
  }

  /** @returns the answers of each route, summed over all processes */
  getTotals(): readonly (RouteTotals & RouteCounts)[] {
    const merged = new Map<string, RouteCounts>();
    this.#reports.forEach(({ report }) => report.routes.forEach((counts) => {
      const known = merged.get(counts.route);
      merged.set(counts.route, known === undefined ? counts : mergeRoutes(known, counts));
    }));
    return [...merged.values()];
  }

  /** @returns the latencies above which answers are slow, for routes with enough answers */
  getSlowBounds(): SlowBounds[] {
    return this.getTotals().flatMap(({ route, firstLatencies, totalLatencies }) => {
      const firstMs = getSlowBoundMs(firstLatencies);
      const totalMs = getSlowBoundMs(totalLatencies);
      return firstMs === null || totalMs === null ? [] : [{ route, firstMs, totalMs }];
    });
  }

  /**
   * Finds a host that may still use other versions.
   *
   * @param hostIds - the hosts that are registered
   * @param statusRevision - revision of the status by which all requests go to the target
   * @param nowMs - the current time
   * @returns the host and why; null when all hosts use the target only
   */
  findBlocking(
    hostIds: Iterable<HostId>,
    statusRevision: number,
    nowMs: number,
  ): string | null {
    const running = new Set(hostIds);
    this.#hosts.forEach(({ receivedAtMs }, hostId) => {
      if (nowMs - receivedAtMs < REPORTER_TTL_MS) {
        running.add(hostId);
      }
    });
    const reasons = [...running].flatMap((hostId) => {
      const report = this.#hosts.get(hostId)?.report;
      if (report === undefined || report.statusRevision < statusRevision) {
        return [`host ${hostId} has not reported that it uses the target only`];
      }
      return report.otherOpenCount > 0
        ? [`${report.otherOpenCount} requests of host ${hostId} run at other versions`]
        : [];
    });
    return reasons[0] ?? null;
  }
}
