import { createServer, type Server } from 'node:http';
import {
  Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import { parseAddress } from '../ingress/parseAddress.ts';
import type { PoolId } from '../lib/ids.ts';
import type { PermitSource } from '../placement/PlacementRequest.ts';
import type { SendRateLimiter } from '../rates/SendRateLimiter.ts';
import type { RetryDecision } from './RetryDecision.ts';

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

  /** What is in force of the limits that upstreams name; null before it is known. */
  #rates: Pick<SendRateLimiter, 'getShares'> | null = null;

  readonly #limits = new Gauge({
    name: 'parsleylift_upstream_limit_per_second',
    help: 'Requests a second that an upstream takes from all hosts together, if it says so',
    labelNames: ['upstream'],
    registers: [this.#registry],
    collect: () => this.#collectLimits(),
  });

  readonly #limitShares = new Gauge({
    name: 'parsleylift_upstream_limit_share_per_second',
    help: 'What of that this host may send, or hand out where it keeps the sum',
    labelNames: ['upstream', 'keeper'],
    registers: [this.#registry],
  });

  readonly #limitedSends = new Counter({
    name: 'parsleylift_limited_sends_total',
    help: 'Sends to upstreams that name a limit, by the leave for them, and those without any',
    labelNames: ['kind', 'leave'],
    registers: [this.#registry],
  });

  #server: Server | null = null;

  /**
   * @param kind - what was relayed
   * @param outcome - how it ended; one of a few codes
   * @param elapsedMs - time since the request arrived
   */
  recordEnd(kind: RelayKind, outcome: string, elapsedMs: number): void {
    this.#ends.inc({ kind, outcome });
    this.#latency.observe({ kind }, elapsedMs / MS_PER_SECOND);
  }

  /** @param poolId - the pool of an upstream that has ended */
  recordCrash(poolId: PoolId): void {
    this.#crashes.inc({ pool: poolId });
  }

  /** @param rates - tell what is in force of the limits that upstreams name */
  setRates(rates: Pick<SendRateLimiter, 'getShares'>): void {
    this.#rates = rates;
  }

  /**
   * @param kind - what was to be sent
   * @param leave - by which leave it was sent; `none` where it was not
   */
  recordLimitedSend(kind: RelayKind, leave: PermitSource | 'none'): void {
    this.#limitedSends.inc({ kind, leave });
  }

  /**
   * @param decision - a repeat that was asked for, and whether it was allowed
   */
  recordRetry({
    poolId, kind, reason, isAllowed, leftAfter,
  }: RetryDecision): void {
    const outcome = isAllowed ? 'allowed' : 'denied';
    this.#repeats.inc({
      pool: poolId, kind, reason, outcome,
    });
    this.#repeatsLeft.set({ pool: poolId, kind }, leftAfter);
  }

  /** @param reason - why a request was refused */
  recordRefusal(reason: string): void {
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

  #collectLimits(): void {
    this.#limits.reset();
    this.#limitShares.reset();
    this.#rates?.getShares().forEach((share) => {
      const { upstreamId: upstream, isCoordinator: isKeeper } = share;
      this.#limits.set({ upstream }, share.requestsPerSecond);
      this.#limitShares.set({ upstream, keeper: String(isKeeper) }, share.sharePerSecond);
    });
  }
}
