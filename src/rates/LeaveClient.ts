import type { Logger } from 'pino';
import type { KnownHost } from '../directory/HostEntry.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { LeaveDecision, LimitReport } from './RateMessage.ts';
import type { RateKeepers } from './RateKeepers.ts';
import type { RatePeers } from './RatePeers.ts';
import type { SendRates } from './SendRates.ts';

/** What became of an ask for leave. */
export type LeaveResult = Exclude<LeaveDecision, { kind: 'notKept' }>;

/** What a client of other hosts' leave is made of. */
export interface LeaveClientParts {
  readonly clock: Clock;
  readonly hostId: HostId;
  readonly rates: SendRates;
  readonly keepers: RateKeepers;
  readonly peers: RatePeers;
  readonly logger: Logger;
}

interface KeeperGroup {
  readonly keeper: KnownHost | undefined;
  readonly upstreams: UpstreamEntry[];
}

/** How often what is known of limits is compared while requests come for their pool. */
const REFRESH_EVERY_MS = 1_000;
/** Longest time of which a caller is told that it should stay away. */
const MAX_RETRY_AFTER_MS = 20_000;

/** Asks the hosts that keep the sums of limited upstreams for leave to send. */
export class LeaveClient {
  readonly #parts: LeaveClientParts;

  readonly #refreshedAtMs = new Map<PoolId, number>();

  /**
   * @param parts - see {@link LeaveClientParts}
   */
  constructor(parts: LeaveClientParts) {
    this.#parts = parts;
  }

  /**
   * Asks for leave for one send, which goes out by itself when its time has come.
   *
   * @param upstreams - limited upstreams, of which any will do
   * @param maxWaitMs - how long the send may wait
   * @returns where and when to send, or when the caller may come back
   */
  async take(upstreams: readonly UpstreamEntry[], maxWaitMs: number): Promise<LeaveResult> {
    let retryAfterMs = this.#parts.rates.getRetryAfterMs(upstreams);
    const groups = this.#groupByKeeper(upstreams);
    for (let index = 0; index < groups.length; index += 1) {
      const group = groups[index];
      if (group !== undefined) {
        // eslint-disable-next-line no-await-in-loop -- the next one is asked when this one has none
        const decision = await this.#ask(group.keeper, group.upstreams, maxWaitMs);
        if (decision.kind === 'granted') {
          return decision;
        }
        if (decision.kind === 'denied') {
          retryAfterMs = Math.min(retryAfterMs, decision.retryAfterMs);
        }
      }
    }
    return { kind: 'denied', retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, retryAfterMs) };
  }

  /**
   * Compares what is known of limits with the hosts that keep them, once in a while.
   *
   * @param poolId - a pool for which requests come
   * @param upstreams - its upstreams that name a limit
   */
  refresh(poolId: PoolId, upstreams: readonly UpstreamEntry[]): void {
    const nowMs = this.#parts.clock.getMonotonicMs();
    if (nowMs - (this.#refreshedAtMs.get(poolId) ?? -Infinity) < REFRESH_EVERY_MS) {
      return;
    }
    this.#refreshedAtMs.set(poolId, nowMs);
    this.#groupByKeeper(upstreams).forEach(({ keeper, upstreams: entries }) => {
      if (keeper !== undefined && keeper.id !== this.#parts.hostId) {
        this.#askPeer(keeper, entries, [], 0);
      }
    });
  }

  #groupByKeeper(upstreams: readonly UpstreamEntry[]): KeeperGroup[] {
    const groups = new Map<HostId | undefined, KeeperGroup>();
    upstreams.forEach((entry) => {
      const keeper = this.#parts.keepers.getKeeper(entry);
      const known = groups.get(keeper?.id) ?? { keeper, upstreams: [] };
      known.upstreams.push(entry);
      groups.set(keeper?.id, known);
    });
    return [...groups.values()];
  }

  async #ask(
    keeper: KnownHost | undefined,
    entries: readonly UpstreamEntry[],
    maxWaitMs: number,
  ): Promise<LeaveDecision> {
    const { hostId, rates } = this.#parts;
    const upstreamIds = entries.map(({ id }) => id);
    if (keeper === undefined) {
      return { kind: 'notKept' };
    }
    return keeper.id === hostId
      ? rates.decide({
        hostId, upstreamIds, maxWaitMs, reports: [],
      }).decision
      : this.#askPeer(keeper, entries, upstreamIds, maxWaitMs);
  }

  async #askPeer(
    keeper: KnownHost,
    entries: readonly UpstreamEntry[],
    upstreamIds: readonly UpstreamId[],
    maxWaitMs: number,
  ): Promise<LeaveDecision> {
    const { hostId, rates, peers } = this.#parts;
    const reports: LimitReport[] = rates.createReportsOf(entries);
    try {
      const answer = await peers.ask(keeper, {
        hostId, upstreamIds, maxWaitMs, reports,
      });
      rates.takeReports(answer.reports, keeper.id);
      return answer.decision;
    } catch (error) {
      this.#parts.logger.info(
        { event: 'leaveUnanswered', keeperId: keeper.id, error: String(error) },
        'the host that keeps what limited upstreams get does not answer',
      );
      return { kind: 'notKept' };
    }
  }
}
