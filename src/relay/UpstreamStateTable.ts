import type { KnownUpstream } from '../directory/Directory.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import { UpstreamSpeeds } from '../speeds/UpstreamSpeeds.ts';
import type { Clock } from '../time/Clock.ts';
import type { ReportedLoad } from './UpstreamProtocol.ts';

interface UpstreamState {
  openCount: number;
  /** Exponentially weighted fraction of attempts that failed. */
  failureRate: number;
  failuresInARow: number;
  avoidUntilMs: number;
  load: ReportedLoad | null;
  loadReadAtMs: number;
  /** When the current silence began: attempts are open, no answer since; null if none is open. */
  silentSinceMs: number | null;
}

/** Weight of the newest attempt in the failure rate. */
const FAILURE_GAIN = 0.15;
/** Cost, in requests, of a failure rate of 1. */
const FAILURE_WEIGHT = 20;
/** Cost, in requests, of an upstream in another failure domain. */
const REMOTE_DOMAIN_WEIGHT = 0.5;
/** Load reports older than this are ignored. */
const LOAD_MAX_AGE_MS = 500;
/** Time to avoid an upstream after a failure; doubles with each further one in a row. */
const MIN_AVOID_MS = 200;
const MAX_AVOID_MS = 3_000;

/** Keeps load, failures and silence of each upstream that this host sends to. */
export class UpstreamStateTable {
  readonly #clock: Clock;

  readonly #failureDomain: string;

  readonly #states = new Map<UpstreamId, UpstreamState>();

  readonly #speeds: UpstreamSpeeds;

  readonly #waitingCounts = new Map<PoolId, number>();

  /**
   * @param clock - provides the timestamps
   * @param failureDomain - this host's failure domain; upstreams in it are preferred
   */
  constructor(clock: Clock, failureDomain: string) {
    this.#clock = clock;
    this.#speeds = new UpstreamSpeeds(clock);
    this.#failureDomain = failureDomain;
  }

  /**
   * Chooses the upstream that is likely to answer first.
   *
   * Checks for silence because connections to a failure domain that is cut off stay open and
   * silent. Without the check, a third of the requests wait there until their deadline, and those
   * that may run only once are lost.
   *
   * @param candidates - usable upstreams
   * @param maxSilenceMs - longest time an upstream may leave all its attempts unanswered
   * @returns the chosen upstream; null when there are no candidates
   */
  choose(candidates: readonly KnownUpstream[], maxSilenceMs: number): KnownUpstream | null {
    const nowMs = this.#clock.getMonotonicMs();
    const healthy = candidates.filter(({ entry }) => {
      const { avoidUntilMs, silentSinceMs } = this.#get(entry.id);
      return avoidUntilMs <= nowMs && nowMs - (silentSinceMs ?? nowMs) <= maxSilenceMs;
    });
    let best: { upstream: KnownUpstream; cost: number } | null = null;
    // If all candidates are avoided or silent, trying one is better than trying none.
    (healthy.length > 0 ? healthy : candidates).forEach((upstream) => {
      const cost = this.#getCost(upstream, nowMs);
      if (best === null || cost < best.cost) {
        best = { upstream, cost };
      }
    });
    return (best as { upstream: KnownUpstream } | null)?.upstream ?? null;
  }

  /**
   * @param id - an upstream
   * @returns open attempts of this host on it
   */
  getOpenCount(id: UpstreamId): number {
    return this.#get(id).openCount;
  }

  /**
   * @param poolId - a pool
   * @returns requests of this host that wait for an upstream of the pool to open
   */
  getWaitingCount(poolId: PoolId): number {
    return this.#waitingCounts.get(poolId) ?? 0;
  }

  /**
   * Counts the requests that wait for an upstream of a pool.
   *
   * @param poolId - a pool
   * @param change - 1 when a request starts to wait, -1 when it stops
   */
  changeWaitingCount(poolId: PoolId, change: 1 | -1): void {
    this.#waitingCounts.set(poolId, this.getWaitingCount(poolId) + change);
  }

  /** @param id - an upstream that a request is sent to now */
  recordSend(id: UpstreamId): void {
    const state = this.#get(id);
    state.openCount += 1;
    state.silentSinceMs ??= this.#clock.getMonotonicMs();
  }

  /**
   * @param id - an upstream whose answer head has arrived
   * @param load - the load that it reports; null when it reports none
   */
  recordAnswer(id: UpstreamId, load: ReportedLoad | null): void {
    const state = this.#get(id);
    const nowMs = this.#clock.getMonotonicMs();
    state.load = load;
    if (typeof load?.workTimeFactor === 'number') {
      this.#speeds.recordReported(id, load.workTimeFactor);
    }
    state.loadReadAtMs = nowMs;
    state.silentSinceMs = nowMs;
  }

  /**
   * @param id - an upstream on which an attempt has ended
   * @param end - `good`: a complete answer; `failed`: a complete answer that reports a failure;
   * `broken`: no complete answer; `dropped`: this host aborted the attempt
   */
  recordEnd(id: UpstreamId, end: 'good' | 'failed' | 'broken' | 'dropped'): void {
    const state = this.#get(id);
    state.openCount -= 1;
    if (state.openCount === 0) {
      state.silentSinceMs = null;
    }
    if (end === 'dropped') {
      return;
    }
    state.failureRate += FAILURE_GAIN * (Number(end !== 'good') - state.failureRate);
    if (end === 'broken') {
      this.#avoid(state);
    } else {
      state.failuresInARow = 0;
    }
  }

  /** @param id - an upstream that left an attempt unanswered until the deadline */
  recordSilence(id: UpstreamId): void {
    this.#avoid(this.#get(id));
  }

  /** @param id - an upstream that no longer exists */
  remove(id: UpstreamId): void {
    this.#states.delete(id);
    this.#speeds.remove(id);
  }

  #avoid(state: UpstreamState): void {
    const avoided = state;
    const pauseMs = Math.min(MAX_AVOID_MS, MIN_AVOID_MS * 2 ** avoided.failuresInARow);
    avoided.failuresInARow += 1;
    avoided.avoidUntilMs = this.#clock.getMonotonicMs() + pauseMs;
  }

  #getCost({ entry }: KnownUpstream, nowMs: number): number {
    const state = this.#get(entry.id);
    const isRecent = nowMs - state.loadReadAtMs <= LOAD_MAX_AGE_MS;
    const reportedCount = state.load === null || !isRecent
      ? 0
      : state.load.runningCount + state.load.waitingCount;
    // The request itself takes a place, so that a slow upstream costs more also while it idles.
    const count = Math.max(state.openCount, reportedCount) + 1;
    return count * this.#speeds.getWorkTimeFactor(entry.id)
      + state.failureRate * FAILURE_WEIGHT
      + (entry.failureDomain === this.#failureDomain ? 0 : REMOTE_DOMAIN_WEIGHT);
  }

  #get(id: UpstreamId): UpstreamState {
    const known = this.#states.get(id);
    if (known !== undefined) {
      return known;
    }
    const state: UpstreamState = {
      openCount: 0,
      failureRate: 0,
      failuresInARow: 0,
      avoidUntilMs: 0,
      load: null,
      loadReadAtMs: 0,
      silentSinceMs: null,
    };
    this.#states.set(id, state);
    return state;
  }
}
