import type { Logger } from 'pino';
import type { KnownHost } from '../directory/HostEntry.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { PermitDecision, LimitReport } from './PermitMessage.ts';
import type { LimitCoordinators } from './LimitCoordinators.ts';
import type { PermitTransport } from './PermitTransport.ts';
import type { SendRateLimiter } from './SendRateLimiter.ts';

/** What became of an ask for leave. */
export type PermitResult = Exclude<PermitDecision, { kind: 'notKept' }>;

/** What a client of other hosts' leave is made of. */
export interface PermitClientOptions {
  readonly clock: Clock;
  readonly hostId: HostId;
  readonly rateLimiter: SendRateLimiter;
  readonly coordinators: LimitCoordinators;
  readonly transport: PermitTransport;
  readonly logger: Logger;
}

interface CoordinatorGroup {
  readonly coordinator: KnownHost | undefined;
  readonly upstreams: UpstreamEntry[];
}

/** How often what is known of limits is compared while requests come for their pool. */
const EXCHANGE_INTERVAL_MS = 1_000;
/** Longest time of which a caller is told that it should stay away. */
const MAX_RETRY_AFTER_MS = 20_000;

/** Asks the hosts that keep the sums of limited upstreams for leave to send. */
export class PermitClient {
  readonly #options: PermitClientOptions;

  readonly #exchangedAtMs = new Map<PoolId, number>();

  /**
   * @param parts - see {@link PermitClientOptions}
   */
  constructor(parts: PermitClientOptions) {
    this.#options = parts;
  }

  /**
   * Asks for leave for one send, which goes out by itself when its time has come.
   *
   * @param upstreams - limited upstreams, of which any will do
   * @param maxWaitMs - how long the send may wait
   * @returns where and when to send, or when the caller may come back
   */
  async requestPermit(upstreams: readonly UpstreamEntry[], maxWaitMs: number): Promise<PermitResult> {
    let retryAfterMs = this.#options.rateLimiter.getRetryAfterMs(upstreams);
    const groups = this.#groupByCoordinator(upstreams);
    for (let index = 0; index < groups.length; index += 1) {
      const group = groups[index];
      if (group !== undefined) {
        // eslint-disable-next-line no-await-in-loop -- the next one is asked when this one has none
        const decision = await this.#requestFrom(group.coordinator, group.upstreams, maxWaitMs);
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
  exchangeReports(poolId: PoolId, upstreams: readonly UpstreamEntry[]): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    if (nowMs - (this.#exchangedAtMs.get(poolId) ?? -Infinity) < EXCHANGE_INTERVAL_MS) {
      return;
    }
    this.#exchangedAtMs.set(poolId, nowMs);
    this.#groupByCoordinator(upstreams).forEach(({ coordinator: keeper, upstreams: entries }) => {
      if (keeper !== undefined && keeper.id !== this.#options.hostId) {
        this.#requestFromPeer(keeper, entries, [], 0);
      }
    });
  }

  #groupByCoordinator(upstreams: readonly UpstreamEntry[]): CoordinatorGroup[] {
    const groups = new Map<HostId | undefined, CoordinatorGroup>();
    upstreams.forEach((entry) => {
      const keeper = this.#options.coordinators.getCoordinator(entry);
      const known = groups.get(keeper?.id) ?? { coordinator: keeper, upstreams: [] };
      known.upstreams.push(entry);
      groups.set(keeper?.id, known);
    });
    return [...groups.values()];
  }

  async #requestFrom(
    keeper: KnownHost | undefined,
    entries: readonly UpstreamEntry[],
    maxWaitMs: number,
  ): Promise<PermitDecision> {
    const { hostId, rateLimiter: rates } = this.#options;
    const upstreamIds = entries.map(({ id }) => id);
    if (keeper === undefined) {
      return { kind: 'notKept' };
    }
    return keeper.id === hostId
      ? rates.decide({
        hostId, upstreamIds, maxWaitMs, reports: [],
      }).decision
      : this.#requestFromPeer(keeper, entries, upstreamIds, maxWaitMs);
  }

  async #requestFromPeer(
    keeper: KnownHost,
    entries: readonly UpstreamEntry[],
    upstreamIds: readonly UpstreamId[],
    maxWaitMs: number,
  ): Promise<PermitDecision> {
    const { hostId, rateLimiter: rates, transport: peers } = this.#options;
    const reports: LimitReport[] = rates.createReportsOf(entries);
    try {
      const answer = await peers.requestPermit(keeper, {
        hostId, upstreamIds, maxWaitMs, reports,
      });
      rates.applyReports(answer.reports, keeper.id);
      return answer.decision;
    } catch (error) {
      this.#options.logger.info(
        { event: 'leaveUnanswered', keeperId: keeper.id, error: String(error) },
        'the host that keeps what limited upstreams get does not answer',
      );
      return { kind: 'notKept' };
    }
  }
}
