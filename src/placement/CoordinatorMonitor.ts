import type { Logger } from 'pino';
import type { HostEntry } from '../directory/HostEntry.ts';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import { PLACEMENT_PATHS } from './PLACEMENT_PATHS.ts';

/** Interval between two liveness probes of a coordinator. */
const PROBE_EVERY_MS = 250;
/** Time without an answer after which a coordinator counts as failed. */
const PROBE_TIMEOUT_MS = 900;
/** How long a failed host is not chosen; doubles with each failure that follows soon after. */
const MIN_AVOID_MS = 1_500;
const MAX_AVOID_MS = 12_000;
/** A failure this long after the end of the last avoidance counts as a first failure. */
const RESET_AVOIDANCE_AFTER_MS = 10_000;

interface Avoidance {
  readonly untilMs: number;
  readonly durationMs: number;
}

/** Dependencies of a {@link CoordinatorMonitor}. */
export interface CoordinatorMonitorOptions {
  readonly clock: Clock;
  /** Connections to peers. */
  readonly connections: UpstreamConnections;
  /** Logs the failures of coordinators. */
  readonly logger: Logger;
}

interface WatchedCoordinator {
  readonly host: HostEntry;
  readonly waiting: Set<AbortController>;
  timer: NodeJS.Timeout | null;
}

/** Detects within about a second that a placement coordinator has failed, for a failover. */
export class CoordinatorMonitor {
  readonly #options: CoordinatorMonitorOptions;

  readonly #watched = new Map<string, WatchedCoordinator>();

  readonly #avoided = new Map<string, Avoidance>();

  /**
   * @param options - see {@link CoordinatorMonitorOptions}
   */
  constructor(options: CoordinatorMonitorOptions) {
    this.#options = options;
  }

  /**
   * @param host - a host that may be chosen as coordinator
   * @returns whether it has failed recently and is not to be chosen
   */
  isAvoided(host: HostEntry): boolean {
    const avoidance = this.#avoided.get(host.peerAddress);
    return avoidance !== undefined
      && avoidance.untilMs > this.#options.clock.getMonotonicMs();
  }

  /**
   * Probes a coordinator while a request waits for its answer.
   *
   * @param host - the coordinator
   * @param controller - aborted when a probe fails
   * @returns a function that ends the monitoring for this request
   */
  watch(host: HostEntry, controller: AbortController): () => void {
    const coordinator = this.#watched.get(host.peerAddress)
      ?? { host, waiting: new Set(), timer: null };
    this.#watched.set(host.peerAddress, coordinator);
    coordinator.waiting.add(controller);
    this.#schedule(coordinator);
    return () => coordinator.waiting.delete(controller);
  }

  /**
   * Excludes a failed host from the choice for a while, and longer after repeated failures: when
   * hosts switch back to it at different times, the traffic is split between two coordinators.
   *
   * @param host - the host that failed
   * @param detail - the observed failure
   */
  recordFailure(host: HostEntry, detail: string): void {
    if (this.isAvoided(host)) {
      return;
    }
    const nowMs = this.#options.clock.getMonotonicMs();
    const last = this.#avoided.get(host.peerAddress);
    const isFirst = last === undefined || nowMs - last.untilMs > RESET_AVOIDANCE_AFTER_MS;
    const durationMs = isFirst ? MIN_AVOID_MS : Math.min(MAX_AVOID_MS, last.durationMs * 2);
    this.#avoided.set(host.peerAddress, { untilMs: nowMs + durationMs, durationMs });
    this.#options.logger.warn({
      event: 'placementCoordinatorLost', hostId: host.id, detail, durationMs,
    }, 'the placement coordinator failed; it is not chosen again for durationMs');
  }

  /** Stops all probes. */
  close(): void {
    this.#watched.forEach((coordinator) => clearTimeout(coordinator.timer ?? undefined));
    this.#watched.clear();
  }

  #schedule(coordinator: WatchedCoordinator): void {
    coordinator.timer ??= setTimeout(() => {
      this.#probe(coordinator).catch((error: unknown) => {
        this.#options.logger.error(
          { event: 'probeFailed', error: String(error) },
          'probing the placement coordinator failed',
        );
      });
    }, PROBE_EVERY_MS);
  }

  async #probe(coordinator: WatchedCoordinator): Promise<void> {
    if (coordinator.waiting.size > 0) {
      try {
        const connections = this.#options.connections.get(`http://${coordinator.host.peerAddress}`);
        const response = await connections.request({
          method: 'GET',
          path: PLACEMENT_PATHS.alive,
          signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
        });
        await response.body.dump();
      } catch (error) {
        this.recordFailure(coordinator.host, String(error));
        coordinator.waiting.forEach((controller) => controller.abort());
      }
    }
    coordinator.timer = null;
    if (coordinator.waiting.size > 0) {
      this.#schedule(coordinator);
    }
  }
}
