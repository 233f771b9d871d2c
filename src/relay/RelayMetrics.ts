import { createServer, type Server } from 'node:http';
import {
  Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import { parseAddress } from '../ingress/parseAddress.ts';
import type { PoolId, UpstreamId } from '../lib/ids.ts';
import type { RepeatDecision } from './RepeatDecision.ts';

/** Upper bounds of the latency histogram, in seconds. */
const LATENCY_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 3, 5, 8, 20];
const MS_PER_SECOND = 1_000;
const STATUS = { ok: 200, notFound: 404 } as const;
const METRICS_PATH = '/metrics';

/** Whether an answer is a stream; one label, so that the number of series stays small. */
export type RelayKind = 'whole' | 'generation';

/** Counters and latencies of one host, as Prometheus text. */
export class RelayMetrics {
  readonly #registry = new Registry();

  readonly #ends = new Counter({
    name: 'parsleylift_relay_ends_total',
    help: 'Requests by how their relay ended',
    labelNames: ['kind', 'outcome'],
    registers: [this.#registry],
  });

  readonly #latency = new Histogram({
    name: 'parsleylift_relay_seconds',
    help: 'Time from a request to the end of its relay',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });

  readonly #repeats = new Counter({
    name: 'parsleylift_relay_repeats_total',
    help: 'Sends beyond the first of a request, asked for, by pool and reason',
    labelNames: ['pool', 'kind', 'reason', 'outcome'],
    registers: [this.#registry],
  });

  readonly #repeatsLeft = new Gauge({
    name: 'parsleylift_repeats_left',
    help: 'Sends beyond the first that a pool could get from this host now',
    labelNames: ['pool', 'kind'],
    registers: [this.#registry],
  });

  readonly #refusals = new Counter({
    name: 'parsleylift_refusals_total',
    help: 'Requests refused before any relay, by reason',
    labelNames: ['reason'],
    registers: [this.#registry],
  });

  readonly #crashes = new Counter({
    name: 'parsleylift_upstream_crashes_total',
    help: 'Upstreams that ended while they worked on requests of this host, by pool',
    labelNames: ['pool'],
    registers: [this.#registry],
  });

  readonly #limits = new Gauge({
    name: 'parsleylift_upstream_limit_per_second',
    help: 'Requests a second that an upstream takes from all hosts together, if it says so',
    labelNames: ['upstream'],
    registers: [this.#registry],
  });

  #server: Server | null = null;

  /**
   * @param kind - what was relayed
   * @param outcome - how it ended; one of a few codes
   * @param elapsedMs - time since the request arrived
   */
  noteEnd(kind: RelayKind, outcome: string, elapsedMs: number): void {
    this.#ends.inc({ kind, outcome });
    this.#latency.observe({ kind }, elapsedMs / MS_PER_SECOND);
  }

  /** @param poolId - the pool of an upstream that has ended */
  noteCrash(poolId: PoolId): void {
    this.#crashes.inc({ pool: poolId });
  }

  /**
   * @param upstreamId - an upstream
   * @param requestsPerSecond - the limit that it names now; null for none any more
   */
  noteLimit(upstreamId: UpstreamId, requestsPerSecond: number | null): void {
    if (requestsPerSecond === null) {
      this.#limits.remove({ upstream: upstreamId });
    } else {
      this.#limits.set({ upstream: upstreamId }, requestsPerSecond);
    }
  }

  /**
   * @param decision - a repeat that was asked for, and whether it was allowed
   */
  noteRepeat({
    poolId, kind, reason, isAllowed, leftAfter,
  }: RepeatDecision): void {
    const outcome = isAllowed ? 'allowed' : 'denied';
    this.#repeats.inc({
      pool: poolId, kind, reason, outcome,
    });
    this.#repeatsLeft.set({ pool: poolId, kind }, leftAfter);
  }

  /** @param reason - why a request was refused */
  noteRefusal(reason: string): void {
    this.#refusals.inc({ reason });
  }

  /**
   * Serves the figures.
   *
   * @param address - IP address and port
   * @returns when it listens
   */
  async listen(address: string): Promise<void> {
    const server = createServer((request, response) => {
      if (request.url !== METRICS_PATH) {
        response.writeHead(STATUS.notFound).end();
        return;
      }
      this.#registry.metrics().then((text) => {
        response.writeHead(STATUS.ok, { 'Content-Type': this.#registry.contentType }).end(text);
      }, () => response.destroy());
    });
    this.#server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(parseAddress(address), resolve);
    });
  }

  /** Ends serving. */
  close(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}
