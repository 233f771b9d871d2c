import type { KnownUpstream } from '../directory/Directory.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { ReportedLoad } from './UpstreamProtocol.ts';

interface UpstreamState {
  openCount: number;
  /** Share of its attempts that failed lately. */
  failureRate: number;
  failuresInARow: number;
  avoidUntilMs: number;
  load: ReportedLoad | null;
  loadReadAtMs: number;
  /** Since when attempts are open and none of them was answered; null when that is not so. */
  silentSinceMs: number | null;
}

/** Weight of the newest attempt in the failure rate. */
const FAILURE_GAIN = 0.15;
/** Load, in requests, that a failure rate of 1 counts as. */
const FAILURE_WEIGHT = 20;
/** Load that being in another failure domain counts as. */
const REMOTE_DOMAIN_WEIGHT = 0.5;
/** Reports older than this say nothing. */
const LOAD_MAX_AGE_MS = 500;
/** Pause after a break; doubles with each further one. */
const MIN_AVOID_MS = 200;
const MAX_AVOID_MS = 3_000;

/** What this host has seen of the upstreams it sends to. */
export class UpstreamStateTable {
  readonly #clock: Clock;

  readonly #failureDomain: string;

  readonly #states = new Map<UpstreamId, UpstreamState>();

  readonly #waitingCounts = new Map<PoolId, number>();

  /**
   * @param clock - dates what was seen
   * @param failureDomain - this host's own; upstreams there are preferred
   */
  constructor(clock: Clock, failureDomain: string) {
    this.#clock = clock;
    this.#failureDomain = failureDomain;
  }

  /**
   * Chooses the upstream that is likely to answer first.
   *
   * Load pattern: a failure domain that is cut off while requests keep coming. Connections to it
   * stay open and silent; without a look at the silence a third of the requests wait there until
   * their deadline, and those that may run once are lost.
   *
   * @param candidates - upstreams that may be used
   * @param maxSilenceMs - how long an upstream may leave all its attempts without an answer
   * @returns the choice; null when there is none
   */
  choose(candidates: readonly KnownUpstream[], maxSilenceMs: number): KnownUpstream | null {
    const nowMs = this.#clock.getMonotonicMs();
    const good = candidates.filter(({ entry }) => {
      const { avoidUntilMs, silentSinceMs } = this.#get(entry.id);
      return avoidUntilMs <= nowMs && nowMs - (silentSinceMs ?? nowMs) <= maxSilenceMs;
    });
    let best: { upstream: KnownUpstream; cost: number } | null = null;
    // When all have failed a moment ago, trying one is better than trying none.
    (good.length > 0 ? good : candidates).forEach((upstream) => {
      const cost = this.#getCost(upstream, nowMs);
      if (best === null || cost < best.cost) {
        best = { upstream, cost };
      }
    });
    return (best as { upstream: KnownUpstream } | null)?.upstream ?? null;
  }

  /**
   * @param id - an upstream
   * @returns attempts that it has from this host
   */
  getOpenCount(id: UpstreamId): number {
    return this.#get(id).openCount;
  }

  /**
   * @param poolId - a pool
   * @returns requests of this host that wait for one of its upstreams to open
   */
  getWaitingCount(poolId: PoolId): number {
    return this.#waitingCounts.get(poolId) ?? 0;
  }

  /**
   * @param poolId - a pool
   * @param change - 1 for a request that begins to wait, -1 for one that ends
   */
  changeWaitingCount(poolId: PoolId, change: 1 | -1): void {
    this.#waitingCounts.set(poolId, this.getWaitingCount(poolId) + change);
  }

  /** @param id - an upstream that gets a request now */
  recordSend(id: UpstreamId): void {
    const notes = this.#get(id);
    notes.openCount += 1;
    notes.silentSinceMs ??= this.#clock.getMonotonicMs();
  }

  /**
   * @param id - an upstream that has begun to answer
   * @param load - what it says of its load, if it does
   */
  recordAnswer(id: UpstreamId, load: ReportedLoad | null): void {
    const notes = this.#get(id);
    const nowMs = this.#clock.getMonotonicMs();
    notes.load = load;
    notes.loadReadAtMs = nowMs;
    notes.silentSinceMs = nowMs;
  }

  /**
   * @param id - an upstream whose attempt is over
   * @param end - `good`: a whole answer; `failed`: a whole answer that says failure; `broken`: no
   * whole answer; `dropped`: this host gave it up
   */
  recordEnd(id: UpstreamId, end: 'good' | 'failed' | 'broken' | 'dropped'): void {
    const notes = this.#get(id);
    notes.openCount -= 1;
    if (notes.openCount === 0) {
      notes.silentSinceMs = null;
    }
    if (end === 'dropped') {
      return;
    }
    notes.failureRate += FAILURE_GAIN * (Number(end !== 'good') - notes.failureRate);
    if (end === 'broken') {
      this.#avoid(notes);
    } else {
      notes.failuresInARow = 0;
    }
  }

  /** @param id - an upstream that left an attempt without an answer until its deadline */
  recordSilence(id: UpstreamId): void {
    this.#avoid(this.#get(id));
  }

  /** @param id - an upstream that is gone */
  remove(id: UpstreamId): void {
    this.#states.delete(id);
  }

  #avoid(notes: UpstreamState): void {
    const avoided = notes;
    const pauseMs = Math.min(MAX_AVOID_MS, MIN_AVOID_MS * 2 ** avoided.failuresInARow);
    avoided.failuresInARow += 1;
    avoided.avoidUntilMs = this.#clock.getMonotonicMs() + pauseMs;
  }

  #getCost({ entry }: KnownUpstream, nowMs: number): number {
    const notes = this.#get(entry.id);
    const isRecent = nowMs - notes.loadReadAtMs <= LOAD_MAX_AGE_MS;
    const reportedCount = notes.load === null || !isRecent
      ? 0
      : notes.load.runningCount + notes.load.waitingCount;
    const busyShare = Math.max(notes.openCount, reportedCount) / Math.max(1, entry.slots);
    return busyShare * entry.slots
      + notes.failureRate * FAILURE_WEIGHT
      + (entry.failureDomain === this.#failureDomain ? 0 : REMOTE_DOMAIN_WEIGHT);
  }

  #get(id: UpstreamId): UpstreamState {
    const known = this.#states.get(id);
    if (known !== undefined) {
      return known;
    }
    const notes: UpstreamState = {
      openCount: 0,
      failureRate: 0,
      failuresInARow: 0,
      avoidUntilMs: 0,
      load: null,
      loadReadAtMs: 0,
      silentSinceMs: null,
    };
    this.#states.set(id, notes);
    return notes;
  }
}
