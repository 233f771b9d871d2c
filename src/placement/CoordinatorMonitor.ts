import type { Logger } from 'pino';
import type { HostEntry } from '../directory/HostEntry.ts';
import type { Clock } from '../time/Clock.ts';
import type { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import { PLACEMENT_PATHS } from './PLACEMENT_PATHS.ts';

/** Pause between two questions whether the placing host lives. */
const PROBE_EVERY_MS = 250;
/** Silence after which it is taken for gone. */
const PROBE_TIMEOUT_MS = 900;
/** How long a host that failed is passed over; doubles with each failure that follows soon. */
const MIN_AVOID_MS = 1_500;
const MAX_AVOID_MS = 12_000;
/** A failure this long after the last avoidance counts as a first one. */
const RESET_AVOIDANCE_AFTER_MS = 10_000;

interface Avoidance {
  readonly untilMs: number;
  readonly durationMs: number;
}

/** What the watch needs. */
export interface CoordinatorMonitorOptions {
  readonly clock: Clock;
  /** Connections to peers. */
  readonly connections: UpstreamConnections;
  /** Gets a line when a placing host is lost. */
  readonly logger: Logger;
}

interface WatchedCoordinator {
  readonly host: HostEntry;
  readonly waiting: Set<AbortController>;
  timer: NodeJS.Timeout | null;
}

/** Notices within a second that the host which places is silent, so that another takes over. */
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
   * @param host - a host that may place
   * @returns whether it failed a moment ago
   */
  isAvoided(host: HostEntry): boolean {
    const avoidance = this.#avoided.get(host.peerAddress);
    return avoidance !== undefined
      && avoidance.untilMs > this.#options.clock.getMonotonicMs();
  }

  /**
   * Watches a host while a request waits for it.
   *
   * @param host - the host
   * @param controller - aborted when the host is found silent
   * @returns ends the watch for this request
   */
  watch(host: HostEntry, controller: AbortController): () => void {
    const placer = this.#watched.get(host.peerAddress)
      ?? { host, waiting: new Set(), timer: null };
    this.#watched.set(host.peerAddress, placer);
    placer.waiting.add(controller);
    this.#schedule(placer);
    return () => placer.waiting.delete(controller);
  }

  /**
   * Passes a host over for a while. One that fails again and again is passed over for longer, since
   * hosts that go back and forth at different times split the traffic between two that place.
   *
   * @param host - a host that did not answer
   * @param detail - what was seen
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
      event: 'placerLost', hostId: host.id, detail, durationMs,
    }, 'the host that places does not answer; another one takes over');
  }

  /** Ends all watching. */
  close(): void {
    this.#watched.forEach((placer) => clearTimeout(placer.timer ?? undefined));
    this.#watched.clear();
  }

  #schedule(placer: WatchedCoordinator): void {
    placer.timer ??= setTimeout(() => {
      this.#probe(placer).catch((error: unknown) => {
        this.#options.logger.error({ event: 'probeFailed', error: String(error) }, 'a probe ended');
      });
    }, PROBE_EVERY_MS);
  }

  async #probe(placer: WatchedCoordinator): Promise<void> {
    if (placer.waiting.size > 0) {
      try {
        const connections = this.#options.connections.get(`http://${placer.host.peerAddress}`);
        const response = await connections.request({
          method: 'GET',
          path: PLACEMENT_PATHS.alive,
          signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
        });
        await response.body.dump();
      } catch (error) {
        this.recordFailure(placer.host, String(error));
        placer.waiting.forEach((controller) => controller.abort());
      }
    }
    placer.timer = null;
    if (placer.waiting.size > 0) {
      this.#schedule(placer);
    }
  }
}
