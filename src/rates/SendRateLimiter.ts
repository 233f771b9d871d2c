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

/** An upstream whose sum this host keeps, or that names no limit. */
interface CoordinatedUpstream {
  readonly entry: UpstreamEntry;
  /** Null where it names no limit. */
  readonly schedule: PermitSchedule | null;
  readonly waitMs: number;
}

/** What of the limit of an upstream is in force at a host. */
export interface LimitShare {
  readonly upstreamId: UpstreamId;
  readonly requestsPerSecond: number;
  /** Sends a second that the host may make, or hand out where it keeps the sum. */
  readonly sharePerSecond: number;
  readonly isCoordinator: boolean;
}

/** What the rates of a host are made of. */
export interface SendRateLimiterOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  /** Knows which upstreams name a limit, and the hosts. */
  readonly directory: Directory;
  readonly coordinators: LimitCoordinators;
}

const MS_PER_SECOND = 1_000;
/** How long the word that a limit is lifted is told to other hosts. */
const LIFTED_REPORT_MS = 30_000;
/** When an upstream is asked again that takes nothing now. */
const ZERO_LIMIT_RETRY_AFTER_MS = 4_000;
/** Schedules that are kept before those of upstreams without a limit are let go. */
const MAX_SCHEDULE_COUNT = 256;

/**
 * Keeps what upstreams that name a limit get from all hosts together under it. One host keeps the
 * sum of each upstream and hands slots out; beside it every host has a share of a small reserve,
 * for when that host is away. An upstream that names no limit needs no leave.
 */
export class SendRateLimiter {
  readonly #options: SendRateLimiterOptions;

  readonly #reserveSends: ReserveSends;

  /** Of the upstreams whose sum this host keeps. */
  readonly #schedules = new Map<UpstreamId, PermitSchedule>();

  /**
   * @param parts - see {@link SendRateLimiterOptions}
   */
  constructor(parts: SendRateLimiterOptions) {
    this.#options = parts;
    this.#reserveSends = new ReserveSends(parts.clock);
  }

  /** Whether no upstream has named a limit, so that there is nothing to look at. */
  get isUnlimited(): boolean {
    return !this.#options.directory.hasAdvertisedLimits;
  }

  /**
   * @param entry - an upstream
   * @returns whether it names a limit
   */
  isLimited(entry: UpstreamEntry): boolean {
    return this.#getBound(entry) !== null;
  }

  /**
   * @param entry - an upstream
   * @returns whether leave for one send can be had here and now
   */
  canTakePermit(entry: UpstreamEntry): boolean {
    const bound = this.#getBound(entry);
    return bound === null
      || this.#getSchedule(entry, bound)?.waitMs === 0
      || this.#hasReserve(entry, bound);
  }

  /**
   * Takes leave for one send that goes out now.
   *
   * @param entry - an upstream
   * @returns whether there was any
   */
  tryTakePermit(entry: UpstreamEntry): boolean {
    return this.#getBound(entry) === null
      || this.tryTakeSharedPermit(entry)
      || this.tryTakeReserve(entry);
  }

  /**
   * @param entry - an upstream that names a limit
   * @returns whether a slot could be had, which only the host that keeps its sum hands out
   */
  canTakeSharedPermit(entry: UpstreamEntry): boolean {
    const bound = this.#getBound(entry);
    return bound !== null && this.#getSchedule(entry, bound)?.waitMs === 0;
  }

  /**
   * @param entry - an upstream that names a limit
   * @returns whether a slot was taken
   */
  tryTakeSharedPermit(entry: UpstreamEntry): boolean {
    const bound = this.#getBound(entry);
    return bound !== null && (this.#getSchedule(entry, bound)?.tryTake(0) ?? null) !== null;
  }

  /**
   * @param entry - an upstream that names a limit
   * @returns whether a send was taken out of this host's reserve
   */
  tryTakeReserve(entry: UpstreamEntry): boolean {
    const bound = this.#getBound(entry);
    if (bound === null || !this.#hasReserve(entry, bound)) {
      return false;
    }
    this.#reserveSends.record(entry.id);
    // The host that keeps the sum itself has nobody to report to.
    const schedule = this.#getSchedule(entry, bound);
    schedule?.recordReserveSends(this.#reserveSends.takeUnreported(entry.id));
    return true;
  }

  /**
   * @param entry - an upstream
   * @returns sends a second that this host may expect to make or to hand out; infinite for no limit
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

  /** @returns the upstreams that name limits, and what of them is in force at this host */
  getShares(): LimitShare[] {
    return this.#options.directory.getLimitedUpstreams().map(({ entry }) => ({
      upstreamId: entry.id,
      requestsPerSecond: this.#options.directory.getRequestLimit(entry) ?? 0,
      sharePerSecond: this.getRatePerSecond(entry),
      isCoordinator: this.#options.coordinators.isCoordinatedHere(entry),
    }));
  }

  /**
   * @param upstreams - upstreams none of which takes anything now
   * @returns when the first of them may take something from this host, as far as it can tell
   */
  getRetryAfterMs(upstreams: readonly UpstreamEntry[]): number {
    const waits = upstreams.map((entry) => {
      const bound = this.#getBound(entry);
      return bound === null ? 0 : this.#getLocalWaitMs(entry, bound);
    });
    return Math.min(ZERO_LIMIT_RETRY_AFTER_MS, ...waits);
  }

  /**
   * @param upstreams - upstreams that name limits
   * @returns when this host may hand out a send to one of them; a while where it keeps no sum
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
   * @returns what is known of the limits of its upstreams, for another host
   */
  createReports(poolId: PoolId): LimitReport[] {
    const { directory } = this.#options;
    return directory.hasAdvertisedLimits
      ? this.createReportsOf(directory.getListed(poolId).map(({ entry }) => entry))
      : [];
  }

  /**
   * @param entries - upstreams
   * @returns what is known of their limits, for the host that keeps their sum; what was sent there
   * without its leave is told once
   */
  createReportsOf(entries: readonly UpstreamEntry[]): LimitReport[] {
    return this.describeLimits(entries).map((report) => ({
      ...report, spentCount: this.#reserveSends.takeUnreported(report.upstreamId),
    }));
  }

  /**
   * @param entries - upstreams
   * @returns what is known of their limits, for any host
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
   * @param reports - what another host knows
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
   * Decides for another host, or for this one, whether it may send to one of some upstreams.
   *
   * @param ask - what it wants
   * @returns the decision, and what is known here of the limits
   */
  decide(ask: PermitRequest): PermitResponse {
    this.applyReports(ask.reports, ask.hostId);
    const reportedIds = ask.reports.map(({ upstreamId }) => upstreamId);
    return {
      decision: this.#decide(this.#getEntries(ask.upstreamIds), ask.maxWaitMs),
      reports: this.describeLimits(this.#getEntries([...reportedIds, ...ask.upstreamIds])),
    };
  }

  #decide(entries: readonly UpstreamEntry[], maxWaitMs: number): PermitDecision {
    const kept = entries.flatMap((entry): CoordinatedUpstream[] => {
      const bound = this.#getBound(entry);
      if (bound === null) {
        return [{ entry, schedule: null, waitMs: 0 }];
      }
      const schedule = this.#getSchedule(entry, bound);
      return schedule === null ? [] : [{ entry, schedule, waitMs: schedule.waitMs }];
    });
    const [first] = kept.sort((left, right) => left.waitMs - right.waitMs);
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

  /** Null where another host keeps the sum. */
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
