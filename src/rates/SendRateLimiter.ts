import type { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { AdvertisedLimit } from '../directory/AdvertisedLimitTable.ts';
import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import { createRateBound, type RateBound } from './RateBound.ts';
import type { LimitCoordinators } from './LimitCoordinators.ts';
import type {
  PermitResponse, PermitRequest, PermitDecision, LimitReport,
} from './PermitMessage.ts';
import { ReserveSends } from './ReserveSends.ts';
import { PermitSchedule } from './PermitSchedule.ts';
import { getReserveShare } from './getReserveShare.ts';

/** An upstream that this host coordinates, or that advertises no limit. */
interface CoordinatedUpstream {
  readonly entry: UpstreamEntry;
  /** Null when the upstream advertises no limit. */
  readonly schedule: PermitSchedule | null;
  readonly waitMs: number;
}

/** Part of an upstream's limit that is in force at this host. */
export interface LimitShare {
  readonly upstreamId: UpstreamId;
  readonly requestsPerSecond: number;
  /** Sends per second that the host may make, or permits per second it may issue as coordinator. */
  readonly sharePerSecond: number;
  readonly isCoordinator: boolean;
}

/** Options of a {@link SendRateLimiter}. */
export interface SendRateLimiterOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  /** Known hosts and advertised limits. */
  readonly directory: Directory;
  readonly coordinators: LimitCoordinators;
}

const MS_PER_SECOND = 1_000;
/** How long other hosts are told that a limit was lifted. */
const LIFTED_REPORT_MS = 30_000;
/** Retry delay for an upstream with limit 0, and the longest wait reported for any. */
const ZERO_LIMIT_RETRY_AFTER_MS = 4_000;
/** Number of schedules from which those of upstreams without a limit are deleted. */
const MAX_SCHEDULE_COUNT = 256;

/**
 * Keeps the sends of all hosts together to a limited upstream within its advertised limit. The
 * upstream's coordinator issues shared permits; every host also has a share of a small reserve, for
 * times when the coordinator is unreachable. An upstream without a limit needs no permit.
 */
export class SendRateLimiter {
  readonly #options: SendRateLimiterOptions;

  readonly #reserveSends: ReserveSends;

  /** Schedules of the upstreams that this host coordinates. */
  readonly #schedules = new Map<UpstreamId, PermitSchedule>();

  /**
   * @param options - see {@link SendRateLimiterOptions}
   */
  constructor(options: SendRateLimiterOptions) {
    this.#options = options;
    this.#reserveSends = new ReserveSends(options.clock);
  }

  /** Whether no upstream has advertised a limit, so that no permit needs a check. */
  get isUnlimited(): boolean {
    return !this.#options.directory.hasAdvertisedLimits;
  }

  /**
   * @param entry - an upstream
   * @returns whether it advertises a limit
   */
  isLimited(entry: UpstreamEntry): boolean {
    return this.#getBound(entry) !== null;
  }

  /**
   * @param entry - an upstream
   * @returns whether this host has a permit for one send now
   */
  canTakePermit(entry: UpstreamEntry): boolean {
    const bound = this.#getBound(entry);
    return bound === null
      || this.#getSchedule(entry, bound)?.waitMs === 0
      || this.#hasReserve(entry, bound);
  }

  /**
   * Takes a permit for one send that goes out now.
   *
   * @param entry - an upstream
   * @returns whether there was one
   */
  tryTakePermit(entry: UpstreamEntry): boolean {
    return this.#getBound(entry) === null
      || this.tryTakeSharedPermit(entry)
      || this.tryTakeReserve(entry);
  }

  /**
   * @param entry - a limited upstream
   * @returns whether a shared permit is available here; false on hosts other than its coordinator
   */
  canTakeSharedPermit(entry: UpstreamEntry): boolean {
    const bound = this.#getBound(entry);
    return bound !== null && this.#getSchedule(entry, bound)?.waitMs === 0;
  }

  /**
   * @param entry - a limited upstream
   * @returns whether a shared permit was taken
   */
  tryTakeSharedPermit(entry: UpstreamEntry): boolean {
    const bound = this.#getBound(entry);
    return bound !== null && (this.#getSchedule(entry, bound)?.tryTake(0) ?? null) !== null;
  }

  /**
   * @param entry - a limited upstream
   * @returns whether a send was taken out of this host's reserve
   */
  tryTakeReserve(entry: UpstreamEntry): boolean {
    const bound = this.#getBound(entry);
    if (bound === null || !this.#hasReserve(entry, bound)) {
      return false;
    }
    this.#reserveSends.record(entry.id);
    // The coordinator applies its own reserve sends, which other hosts report to it.
    const schedule = this.#getSchedule(entry, bound);
    schedule?.recordReserveSends(this.#reserveSends.takeUnreported(entry.id));
    return true;
  }

  /**
   * @param entry - an upstream
   * @returns sends per second that this host may make, or permits per second that it may issue as
   * coordinator; infinite without a limit
   */
  getRatePerSecond(entry: UpstreamEntry): number {
    const bound = this.#getBound(entry);
    if (bound === null) {
      return Infinity;
    }
    return this.#getSchedule(entry, bound) === null
      ? (this.#getShare(entry, bound) * MS_PER_SECOND) / bound.reserveWindowMs
      : bound.perSecond;
  }

  /** @returns the limited upstreams, with the part of each limit that is in force at this host */
  getShares(): LimitShare[] {
    return this.#options.directory.getLimitedUpstreams().map(({ entry }) => ({
      upstreamId: entry.id,
      requestsPerSecond: this.#options.directory.getRequestLimit(entry) ?? 0,
      sharePerSecond: this.getRatePerSecond(entry),
      isCoordinator: this.#options.coordinators.isCoordinatedHere(entry),
    }));
  }

  /**
   * @param upstreams - upstreams none of which has a permit now
   * @returns time until one of them may have a permit for this host, by what this host knows
   */
  getRetryAfterMs(upstreams: readonly UpstreamEntry[]): number {
    const waits = upstreams.map((entry) => {
      const bound = this.#getBound(entry);
      return bound === null ? 0 : this.#getLocalWaitMs(entry, bound);
    });
    return Math.min(ZERO_LIMIT_RETRY_AFTER_MS, ...waits);
  }

  /**
   * @param upstreams - limited upstreams
   * @returns time until this host may issue a shared permit for one of them; at most 4 s, which is
   * also the value for upstreams that it does not coordinate
   */
  getSharedWaitMs(upstreams: readonly UpstreamEntry[]): number {
    const waits = upstreams.map((entry) => {
      const bound = this.#getBound(entry);
      return bound === null ? 0 : this.#getSchedule(entry, bound)?.waitMs ?? Infinity;
    });
    return Math.min(ZERO_LIMIT_RETRY_AFTER_MS, ...waits);
  }

  /**
   * @param poolId - a pool
   * @returns reports on the limits of its upstreams, for another host
   */
  createReports(poolId: PoolId): LimitReport[] {
    const { directory } = this.#options;
    return directory.hasAdvertisedLimits
      ? this.createReportsOf(directory.getListed(poolId).map(({ entry }) => entry))
      : [];
  }

  /**
   * @param entries - upstreams
   * @returns reports on their limits, for their coordinator; each reserve send is reported once
   */
  createReportsOf(entries: readonly UpstreamEntry[]): LimitReport[] {
    return this.describeLimits(entries).map((report) => ({
      ...report, spentCount: this.#reserveSends.takeUnreported(report.upstreamId),
    }));
  }

  /**
   * @param entries - upstreams
   * @returns reports on their limits, for any host; without reserve sends
   */
  describeLimits(entries: readonly UpstreamEntry[]): LimitReport[] {
    return entries.flatMap((entry) => {
      const word = this.#options.directory.getAdvertisedLimit(entry);
      return word === undefined || this.#isLiftReportExpired(word)
        ? []
        : [this.#createReport(entry, word)];
    });
  }

  /**
   * @param reports - limit reports of another host
   * @param hostId - that host
   */
  applyReports(reports: readonly LimitReport[], hostId: HostId): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    reports.forEach((report) => {
      const { upstreamId, startedAtMs, requestsPerSecond } = report;
      this.#options.directory.apply({
        kind: 'upstreamLimit',
        advertisedLimit: {
          lifetime: { id: upstreamId, startedAtMs },
          requestsPerSecond,
          requestSentAtMs: nowMs - report.askedAgoMs,
          receivedAtMs: nowMs - report.heardAgoMs,
        },
        source: { kind: 'host', hostId },
      });
      const entry = this.#options.directory.getUpstream(upstreamId)?.entry;
      const bound = entry === undefined ? null : this.#getBound(entry);
      if (entry !== undefined && bound !== null) {
        this.#getSchedule(entry, bound)?.recordReserveSends(report.spentCount);
      }
    });
  }

  /**
   * Decides a permit request of another host or of this one, as coordinator.
   *
   * @param request - the upstreams and the requesting host's limit reports
   * @returns the decision, with this host's limit reports
   */
  decide(request: PermitRequest): PermitResponse {
    this.applyReports(request.reports, request.hostId);
    const reportedIds = request.reports.map(({ upstreamId }) => upstreamId);
    return {
      decision: this.#decide(this.#getEntries(request.upstreamIds), request.maxWaitMs),
      reports: this.describeLimits(this.#getEntries([...reportedIds, ...request.upstreamIds])),
    };
  }

  #decide(entries: readonly UpstreamEntry[], maxWaitMs: number): PermitDecision {
    const candidates = entries.flatMap((entry): CoordinatedUpstream[] => {
      const bound = this.#getBound(entry);
      if (bound === null) {
        return [{ entry, schedule: null, waitMs: 0 }];
      }
      const schedule = this.#getSchedule(entry, bound);
      return schedule === null ? [] : [{ entry, schedule, waitMs: schedule.waitMs }];
    });
    const [first] = candidates.sort((left, right) => left.waitMs - right.waitMs);
    if (first === undefined) {
      return { kind: 'notKept' };
    }
    const waitMs = first.schedule === null ? 0 : first.schedule.tryTake(maxWaitMs);
    if (waitMs !== null) {
      return { kind: 'granted', upstreamId: first.entry.id, waitMs };
    }
    const returnMs = first.schedule?.assignRetryAfterMs() ?? 0;
    return {
      kind: 'denied',
      retryAfterMs: Number.isFinite(returnMs) ? returnMs : ZERO_LIMIT_RETRY_AFTER_MS,
    };
  }

  #getEntries(ids: readonly UpstreamId[]): UpstreamEntry[] {
    return [...new Set(ids)]
      .map((id) => this.#options.directory.getUpstream(id)?.entry)
      .filter((entry) => entry !== undefined);
  }

  #createReport(entry: UpstreamEntry, word: AdvertisedLimit): LimitReport {
    const nowMs = this.#options.clock.getMonotonicMs();
    const bound = this.#getBound(entry);
    return {
      upstreamId: entry.id,
      startedAtMs: word.lifetime.startedAtMs,
      requestsPerSecond: word.requestsPerSecond,
      askedAgoMs: nowMs - word.requestSentAtMs,
      heardAgoMs: nowMs - word.receivedAtMs,
      hasReserve: bound !== null && this.#hasReserve(entry, bound),
      spentCount: 0,
    };
  }

  #isLiftReportExpired({ requestsPerSecond, receivedAtMs: heardAtMs }: AdvertisedLimit): boolean {
    return requestsPerSecond === null
      && this.#options.clock.getMonotonicMs() - heardAtMs > LIFTED_REPORT_MS;
  }

  #getBound(entry: UpstreamEntry): RateBound | null {
    const perSecond = this.#options.directory.getRequestLimit(entry);
    return perSecond === null ? null : createRateBound(perSecond);
  }

  /** Returns the upstream's schedule; null when another host is its coordinator. */
  #getSchedule(entry: UpstreamEntry, bound: RateBound): PermitSchedule | null {
    if (!this.#options.coordinators.isCoordinatedHere(entry)) {
      this.#schedules.delete(entry.id);
      return null;
    }
    const known = this.#schedules.get(entry.id);
    if (known !== undefined) {
      known.setBound(bound);
      return known;
    }
    if (this.#schedules.size >= MAX_SCHEDULE_COUNT) {
      this.#deleteUnlimitedSchedules();
    }
    const schedule = new PermitSchedule(this.#options.clock, bound);
    this.#schedules.set(entry.id, schedule);
    return schedule;
  }

  #deleteUnlimitedSchedules(): void {
    [...this.#schedules.keys()].forEach((id) => {
      const entry = this.#options.directory.getUpstream(id)?.entry;
      if (entry === undefined || this.#getBound(entry) === null) {
        this.#schedules.delete(id);
      }
    });
  }

  #getShare(entry: UpstreamEntry, { reserveCount }: RateBound): number {
    const { directory, hostId } = this.#options;
    return getReserveShare(entry.id, reserveCount, {
      ownId: hostId,
      presentIds: [...directory.hosts.keys()],
      largestCount: directory.largestHostCount,
    });
  }

  #hasReserve(entry: UpstreamEntry, bound: RateBound): boolean {
    const share = this.#getShare(entry, bound);
    return this.#reserveSends.getWaitMs(entry.id, share, bound.reserveWindowMs) === 0;
  }

  #getLocalWaitMs(entry: UpstreamEntry, bound: RateBound): number {
    const share = this.#getShare(entry, bound);
    return Math.min(
      this.#reserveSends.getWaitMs(entry.id, share, bound.reserveWindowMs),
      this.#getSchedule(entry, bound)?.waitMs ?? Infinity,
    );
  }
}
