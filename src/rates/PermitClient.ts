import type { Logger } from 'pino';
import type { KnownHost } from '../directory/HostEntry.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import type { HostId, PoolId, UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';
import type { PermitDecision, LimitReport } from './PermitMessage.ts';
import type { LimitCoordinators } from './LimitCoordinators.ts';
import type { PermitTransport } from './PermitTransport.ts';
import type { SendRateLimiter } from './SendRateLimiter.ts';

/** Final outcome of a permit request. */
export type PermitResult = Exclude<PermitDecision, { kind: 'notKept' }>;

/** Options of a {@link PermitClient}. */
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

/** Interval of report exchanges while requests arrive for a pool. */
const EXCHANGE_INTERVAL_MS = 1_000;
/** Longest `retryAfterMs` that a caller receives. */
const MAX_RETRY_AFTER_MS = 20_000;

/** Requests permits for limited upstreams from their coordinators. */
export class PermitClient {
  readonly #options: PermitClientOptions;

  readonly #exchangedAtMs = new Map<PoolId, number>();

  /**
   * @param options - see {@link PermitClientOptions}
   */
  constructor(options: PermitClientOptions) {
    this.#options = options;
  }

  /**
   * Requests a permit for one send; the caller sends when the wait of the permit has passed.
   *
   * @param upstreams - limited upstreams, any of which will do
   * @param maxWaitMs - how long the send may wait
   * @returns where and when to send, or when to retry
   */
  async requestPermit(
    upstreams: readonly UpstreamEntry[],
    maxWaitMs: number,
  ): Promise<PermitResult> {
    let retryAfterMs = this.#options.rateLimiter.getRetryAfterMs(upstreams);
    const groups = this.#groupByCoordinator(upstreams);
    for (let index = 0; index < groups.length; index += 1) {
      const group = groups[index];
      if (group !== undefined) {
        // eslint-disable-next-line no-await-in-loop -- the next is asked after a denial only
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
   * Exchanges limit reports with the coordinators, at most once per interval and pool.
   *
   * @param poolId - a pool that receives requests
   * @param upstreams - its limited upstreams
   */
  exchangeReports(poolId: PoolId, upstreams: readonly UpstreamEntry[]): void {
    const nowMs = this.#options.clock.getMonotonicMs();
    if (nowMs - (this.#exchangedAtMs.get(poolId) ?? -Infinity) < EXCHANGE_INTERVAL_MS) {
      return;
    }
    this.#exchangedAtMs.set(poolId, nowMs);
    this.#groupByCoordinator(upstreams).forEach(({ coordinator, upstreams: entries }) => {
      if (coordinator !== undefined && coordinator.id !== this.#options.hostId) {
        this.#requestFromPeer(coordinator, entries, [], 0);
      }
    });
  }

  #groupByCoordinator(upstreams: readonly UpstreamEntry[]): CoordinatorGroup[] {
    const groups = new Map<HostId | undefined, CoordinatorGroup>();
    upstreams.forEach((entry) => {
      const coordinator = this.#options.coordinators.getCoordinator(entry);
      const known = groups.get(coordinator?.id) ?? { coordinator, upstreams: [] };
      known.upstreams.push(entry);
      groups.set(coordinator?.id, known);
    });
    return [...groups.values()];
  }

  async #requestFrom(
    coordinator: KnownHost | undefined,
    entries: readonly UpstreamEntry[],
    maxWaitMs: number,
  ): Promise<PermitDecision> {
    const { hostId, rateLimiter } = this.#options;
    const upstreamIds = entries.map(({ id }) => id);
    if (coordinator === undefined) {
      return { kind: 'notKept' };
    }
    return coordinator.id === hostId
      ? rateLimiter.decide({
        hostId, upstreamIds, maxWaitMs, reports: [],
      }).decision
      : this.#requestFromPeer(coordinator, entries, upstreamIds, maxWaitMs);
  }

  async #requestFromPeer(
    coordinator: KnownHost,
    entries: readonly UpstreamEntry[],
    upstreamIds: readonly UpstreamId[],
    maxWaitMs: number,
  ): Promise<PermitDecision> {
    const { hostId, rateLimiter, transport } = this.#options;
    const reports: LimitReport[] = rateLimiter.createReportsOf(entries);
    try {
      const response = await transport.requestPermit(coordinator, {
        hostId, upstreamIds, maxWaitMs, reports,
      });
      rateLimiter.applyReports(response.reports, coordinator.id);
      return response.decision;
    } catch (error) {
      this.#options.logger.info(
        { event: 'permitUnanswered', coordinatorId: coordinator.id, error: String(error) },
        'limit coordinator does not answer; requesting a permit elsewhere',
      );
      return { kind: 'notKept' };
    }
  }
}
