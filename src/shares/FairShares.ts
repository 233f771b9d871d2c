import type { Logger } from 'pino';
import type { Directory } from '../directory/Directory.ts';
import type { PlacementJob } from '../placement/PlacementJob.ts';
import type { PlacementRequest } from '../placement/PlacementRequest.ts';
import type { Clock } from '../time/Clock.ts';
import {
  ClassShares, RESOURCE, type Resource, type ShareRequest,
} from './ClassShares.ts';
import { getRequestCosts } from './getRequestCosts.ts';
import { SHARE_WINDOW_MS } from './HolderShares.ts';
import { SHARE_RANK } from './SHARE_RANK.ts';

/** Dependencies of {@link FairShares}. */
export interface FairSharesOptions {
  readonly clock: Clock;
  /** Knows the batch limits of stage pools. */
  readonly directory: Directory;
  readonly logger: Logger;
}

/** The shares that apply to one request. */
interface JobShares {
  readonly classShares: ClassShares;
  readonly request: ShareRequest;
  /** Whether it came back before it was told to. */
  readonly isEarly: boolean;
  /** When it was accepted; null before that. */
  takenAtMs: number | null;
  /** Whether it already waited for an engine when the ranks were last refreshed. */
  wasAwaitingEngine: boolean;
}

/** State of the shares of one request, for the log. */
export interface ShareDescription {
  readonly shareRank: string;
  readonly isEarlyRepeat: boolean;
  /** Share of the scarce work that its account has taken lately, relative to its fair share. */
  readonly takenPerShare: number | null;
}

/** Interval between two updates of the ranks of waiting requests. */
const REFRESH_MS = 100;
const RANK_NAMES = Object.entries(SHARE_RANK);
const DIGITS = 2;

/** Names one priority class of the requests of one engine pool in one placement group. */
function getClassKey({ domains, poolId, priority }: PlacementRequest): string {
  return `${domains[0] ?? ''} ${poolId} ${priority}`;
}

/** Names the content of a request, which is the same when it is sent again. */
function getContent(request: PlacementRequest): string {
  const {
    account, kind, pieceKey, promptTokens, maxOutputTokens, parts,
  } = request;
  const lastPart = parts.at(-1)?.id ?? request.requestId;
  return [account, kind, pieceKey, promptTokens, maxOutputTokens, lastPart].join(' ');
}

/**
 * Decides which requests give way while a placement coordinator can't serve all of them in time:
 * shares of client accounts, sessions and kinds of request within each priority class.
 *
 * Load pattern: callers that compete for too little room, one of which sends many times its usual
 * or repeats at once. The coordinator sees all demand of its group, so that shares hold over all
 * hosts. Without client accounts in the configuration, or while nothing is scarce, it changes
 * nothing.
 */
export class FairShares {
  readonly #options: FairSharesOptions;

  readonly #classes = new Map<string, ClassShares>();

  readonly #jobs = new WeakMap<PlacementJob, JobShares>();

  /** The scarce resources of classes that were logged, by a text that names both. */
  readonly #scarce = new Map<string, () => boolean>();

  #refreshedAtMs = -Infinity;

  /**
   * @param options - see {@link FairSharesOptions}
   */
  constructor(options: FairSharesOptions) {
    this.#options = options;
  }

  /**
   * Records a request that arrives, and sets its rank. Requests that were placed or started before
   * have been counted, and the work done for them is not discarded.
   *
   * @param job - the request
   */
  recordArrival(job: PlacementJob): void {
    const { request } = job;
    const isCounted = request.isPlacedAgain
      || request.softwareVersion !== null
      || request.standingResults.length > 0;
    if (request.account === null || isCounted) {
      return;
    }
    const nowMs = this.#options.clock.getMonotonicMs();
    const pools = this.#options.directory.configuration?.pools;
    const classShares = this.#getClass(request);
    const shareRequest = {
      account: request.account,
      kind: request.kind,
      session: request.parts.at(-2)?.id ?? request.parts.at(-1)?.id ?? request.requestId,
      content: getContent(request),
      costs: getRequestCosts(request, (poolId) => pools?.get(poolId)?.batch),
    };
    const repetition = classShares.recordDemand(shareRequest, nowMs);
    this.#jobs.set(job, {
      classShares,
      request: shareRequest,
      isEarly: repetition === 'early',
      takenAtMs: null,
      wasAwaitingEngine: false,
    });
    this.#updateRank(job, nowMs);
  }

  /**
   * Decides whether a request is refused at once, since it can't be on time behind those that go
   * before it and is over its share.
   *
   * @param job - a request that arrives
   * @param leastMs - the time that its stages take without any wait
   * @param expectedMs - the time that its stages take behind the requests that go before it
   * @returns whether it is refused
   */
  isRefused(job: PlacementJob, leastMs: number, expectedMs: number): boolean {
    const shares = this.#jobs.get(job);
    if (shares === undefined) {
      return false;
    }
    const nowMs = this.#options.clock.getMonotonicMs();
    const onTimeMs = job.onTimeAtMs - nowMs;
    if (leastMs <= onTimeMs && onTimeMs < expectedMs) {
      this.#recordScarce(job, shares, RESOURCE.stages, nowMs);
      this.#updateRank(job, nowMs);
    }
    return job.shareRank === SHARE_RANK.over
      && (expectedMs > onTimeMs || shares.classShares.isScarce(RESOURCE.engines, nowMs));
  }

  /** @param job - a request that is accepted */
  recordAccepted(job: PlacementJob): void {
    const shares = this.#jobs.get(job);
    if (shares !== undefined) {
      shares.takenAtMs = this.#options.clock.getMonotonicMs();
      shares.classShares.recordTaken(shares.request, shares.takenAtMs);
    }
  }

  /**
   * @param job - a request that is refused, at once or after a wait
   * @param retryAfterMs - the time that its caller is told to wait
   */
  recordRefused(job: PlacementJob, retryAfterMs: number): void {
    const shares = this.#jobs.get(job);
    if (shares !== undefined) {
      const nowMs = this.#options.clock.getMonotonicMs();
      const { takenAtMs, isEarly } = shares;
      shares.classShares.recordRefused(shares.request, {
        takenAtMs, isEarly, retryAfterMs, remainingMs: job.deadlineAtMs - nowMs,
      }, nowMs);
      this.#jobs.delete(job);
    }
  }

  /** @param job - a request that an engine runs */
  recordServed(job: PlacementJob): void {
    const shares = this.#jobs.get(job);
    shares?.classShares.recordServed(shares.request);
  }

  /**
   * Updates the ranks of the waiting requests, at most ten times a second. An account that has
   * used shares of others goes behind them as soon as they need them.
   *
   * @param jobs - the requests that wait or are placed
   */
  refresh(jobs: Iterable<PlacementJob>): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    if (this.#classes.size === 0 || nowMs - this.#refreshedAtMs < REFRESH_MS) {
      return;
    }
    this.#refreshedAtMs = nowMs;
    [...jobs].filter(({ state }) => state !== 'placed').forEach((job) => {
      const shares = this.#jobs.get(job);
      if (shares !== undefined) {
        const isAwaitingEngine = job.state === 'awaitingEngine';
        if (isAwaitingEngine && shares.wasAwaitingEngine && nowMs > job.onTimeAtMs) {
          this.#recordScarce(job, shares, RESOURCE.engines, nowMs);
        }
        shares.wasAwaitingEngine = isAwaitingEngine;
        this.#updateRank(job, nowMs);
      }
    });
    this.#scarce.forEach((isScarce, key) => {
      if (!isScarce()) {
        this.#scarce.delete(key);
        this.#options.logger.info({ event: 'scarcityEnded', scarce: key }, 'a scarcity ended');
      }
    });
  }

  /**
   * @param job - a request
   * @returns the time until its account is within its share if it takes nothing meanwhile
   */
  getRetryAfterMs(job: PlacementJob): number {
    const excess = this.describe(job)?.takenPerShare ?? 1;
    return Math.min(SHARE_WINDOW_MS, SHARE_WINDOW_MS * Math.log(Math.max(1, excess)));
  }

  /**
   * @param job - a request
   * @returns the state of its shares; null if none apply to it
   */
  describe(job: PlacementJob): ShareDescription | null {
    const shares = this.#jobs.get(job);
    if (shares === undefined) {
      return null;
    }
    const nowMs = this.#options.clock.getMonotonicMs();
    const standing = shares.classShares.getStanding(shares.request.account, nowMs);
    return {
      shareRank: RANK_NAMES.find(([, rank]) => rank === job.shareRank)?.[0] ?? '',
      isEarlyRepeat: shares.isEarly,
      takenPerShare: standing === null || standing.share === 0
        ? null
        : Number((standing.taken / standing.share).toFixed(DIGITS)),
    };
  }

  #getClass(request: PlacementRequest): ClassShares {
    const key = getClassKey(request);
    const known = this.#classes.get(key);
    if (known !== undefined) {
      return known;
    }
    const created = new ClassShares();
    this.#classes.set(key, created);
    return created;
  }

  #updateRank(job: PlacementJob, nowMs: number): void {
    const shares = this.#jobs.get(job);
    if (shares !== undefined) {
      const ranked = job;
      ranked.shareRank = shares.classShares.getRank(shares.request, shares.isEarly, nowMs);
    }
  }

  #recordScarce(
    job: PlacementJob,
    { classShares }: JobShares,
    resource: Resource,
    nowMs: number,
  ): void {
    if (!classShares.recordScarce(resource, nowMs)) {
      return;
    }
    const { clock, logger } = this.#options;
    const { domains, poolId, priority } = job.request;
    const key = `${resource} ${getClassKey(job.request)}`;
    this.#scarce.set(key, () => classShares.isScarce(resource, clock.getMonotonicMs()));
    logger.info({
      event: 'scarcityBegan',
      scarce: key,
      resource,
      domains,
      poolId,
      priority,
      accountsOverShare: classShares.getOverAccounts(nowMs),
    }, 'requests of a priority class can\'t all be on time; accounts get their shares');
  }
}
