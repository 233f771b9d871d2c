import { createServer, type Server } from 'node:http';
import {
  Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import { parseAddress } from '../ingress/parseAddress.ts';
import { BUFFER_PART, type BufferPart } from '../memory/BUFFER_PART.ts';
import type { BufferMemory } from '../memory/BufferMemory.ts';
import type { PoolId } from '../lib/ids.ts';
import type { PermitSource } from '../placement/PlacementRequest.ts';
import type { SendRateLimiter } from '../rates/SendRateLimiter.ts';
import type { RetryDecision } from './RetryDecision.ts';
import type { VersionComparison } from './compareVersions.ts';

/** Upper bounds of the latency histogram, in seconds. */
const LATENCY_BUCKETS_S = [0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 3, 5, 8, 20];
const MS_PER_SECOND = 1_000;
const STATUS = { ok: 200, notFound: 404 } as const;
const METRICS_PATH = '/metrics';

/** Kind of relay; a single label, which keeps the number of time series small. */
export type RelayKind = 'whole' | 'generation' | 'forwarded';

/** Records the metrics of one host and serves them in the Prometheus text format. */
export class RelayMetrics {
  readonly #registry = new Registry();

  readonly #ends = new Counter({
    name: 'parsleylift_relay_ends_total',
    help: 'Relayed requests by outcome',
    labelNames: ['kind', 'outcome', 'priority'],
    registers: [this.#registry],
  });

  readonly #latency = new Histogram({
    name: 'parsleylift_relay_seconds',
    help: 'Time from the arrival of a request to the end of its relay',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });

  readonly #repeats = new Counter({
    name: 'parsleylift_relay_repeats_total',
    help: 'Retries that a request asked for, by pool, reason and outcome',
    labelNames: ['pool', 'kind', 'reason', 'outcome'],
    registers: [this.#registry],
  });

  readonly #repeatsLeft = new Gauge({
    name: 'parsleylift_repeats_left',
    help: 'Retries that this host may send to a pool now',
    labelNames: ['pool', 'kind'],
    registers: [this.#registry],
  });

  readonly #refusals = new Counter({
    name: 'parsleylift_refusals_total',
    help: 'Requests refused before any relay, by reason',
    labelNames: ['reason'],
    registers: [this.#registry],
  });

  readonly #resumptions = new Counter({
    name: 'parsleylift_stream_resumptions_total',
    help: 'Streams that callers resumed, by what showed their software version',
    labelNames: ['version'],
    registers: [this.#registry],
  });

  readonly #cutOff = new Gauge({
    name: 'parsleylift_cut_off_from_upstreams',
    help: '1 while this host reaches no upstream, else 0',
    registers: [this.#registry],
  });

  readonly #configuration = new Gauge({
    name: 'parsleylift_configuration_version',
    help: 'Version of the configuration by which this host decides',
    registers: [this.#registry],
  });

  readonly #forwarded = new Counter({
    name: 'parsleylift_forwarded_requests_total',
    help: 'Requests that another host passed on, by how the version here compares with its version',
    labelNames: ['comparison'],
    registers: [this.#registry],
  });

  readonly #crashes = new Counter({
    name: 'parsleylift_upstream_crashes_total',
    help: 'Upstreams that crashed while processing requests of this host, by pool',
    labelNames: ['pool'],
    registers: [this.#registry],
  });

  readonly #storeEraChanges = new Counter({
    name: 'parsleylift_store_era_changes_total',
    help: 'Times that the store came back from an older copy',
    registers: [this.#registry],
  });

  /** Provides the advertised limits in force; null until it is set. */
  #rates: Pick<SendRateLimiter, 'getShares'> | null = null;

  readonly #limits = new Gauge({
    name: 'parsleylift_upstream_limit_per_second',
    help: 'Advertised limit of an upstream for all hosts together, in requests per second',
    labelNames: ['upstream'],
    registers: [this.#registry],
    collect: () => this.#collectLimits(),
  });

  readonly #limitShares = new Gauge({
    name: 'parsleylift_upstream_limit_share_per_second',
    help: 'Share of that limit that this host may send, or may grant if it is the coordinator',
    labelNames: ['upstream', 'keeper'],
    registers: [this.#registry],
  });

  readonly #limitedSends = new Counter({
    name: 'parsleylift_limited_sends_total',
    help: 'Sends to upstreams that advertise a limit, by kind of permit, or none if not sent',
    labelNames: ['kind', 'leave'],
    registers: [this.#registry],
  });

  /** Provides the use of the buffer memory; null until it is set. */
  #memory: BufferMemory | null = null;

  readonly #bufferBytes = new Gauge({
    name: 'parsleylift_buffer_bytes',
    help: 'Bytes that bodies and answers hold now, by part of the buffer memory',
    labelNames: ['part'],
    registers: [this.#registry],
    collect: () => this.#collectMemory(),
  });

  readonly #scarcities = new Counter({
    name: 'parsleylift_buffer_scarcities_total',
    help: 'Reservations that found no room, or only at the cost of another client, by part',
    labelNames: ['part'],
    registers: [this.#registry],
  });

  #server: Server | null = null;

  /**
   * @param kind - kind of relay
   * @param outcome - outcome of the relay; one of a few codes
   * @param elapsedMs - time since the request arrived
   * @param priority - the priority class of the request; null where this host does not know it
   */
  recordEnd(kind: RelayKind, outcome: string, elapsedMs: number, priority: number | null): void {
    this.#ends.inc({ kind, outcome, priority: priority ?? '-' });
    this.#latency.observe({ kind }, elapsedMs / MS_PER_SECOND);
  }

  /** @param version - what showed the software version of a resumed stream, or `unknown` */
  recordResumption(version: string): void {
    this.#resumptions.inc({ version });
  }

  /** @param isCutOff - whether this host reaches no upstream */
  recordReachability(isCutOff: boolean): void {
    this.#cutOff.set(isCutOff ? 1 : 0);
  }

  /** @param version - the configuration that is in force from now on */
  recordConfiguration(version: number): void {
    this.#configuration.set(version);
  }

  /** @param comparison - the version here compared with that of the host that passed it on */
  recordForwarded(comparison: VersionComparison): void {
    this.#forwarded.inc({ comparison });
  }

  /** @param poolId - the pool of an upstream that has crashed */
  recordCrash(poolId: PoolId): void {
    this.#crashes.inc({ pool: poolId });
  }

  /** Counts that the store came back from an older copy. */
  recordStoreEraChange(): void {
    this.#storeEraChanges.inc();
  }

  /** @param rates - provides the advertised limits in force */
  setRates(rates: Pick<SendRateLimiter, 'getShares'>): void {
    this.#rates = rates;
  }

  /** @param memory - the memory of all buffers */
  setMemory(memory: BufferMemory): void {
    this.#memory = memory;
  }

  /** @param part - part of the buffer memory that had no room */
  recordScarcity(part: BufferPart): void {
    this.#scarcities.inc({ part });
  }

  /**
   * @param kind - kind of relay
   * @param leave - kind of the permit that was used; `none` when nothing was sent
   */
  recordLimitedSend(kind: RelayKind, leave: PermitSource | 'none'): void {
    this.#limitedSends.inc({ kind, leave });
  }

  /**
   * @param decision - the decision on a retry
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
   * Starts to serve the metrics.
   *
   * @param address - IP address and port
   * @returns a promise that resolves when the server listens
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

  /** Stops the server. */
  close(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  #collectMemory(): void {
    Object.values(BUFFER_PART).forEach((part) => {
      this.#bufferBytes.set({ part }, this.#memory?.getUsedBytes(part) ?? 0);
    });
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
