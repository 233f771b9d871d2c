import { setTimeout as sleep } from 'node:timers/promises';
import { fastify, type FastifyInstance, type FastifyReply } from 'fastify';
import type { HostListEntry } from '../src/platform/HostListEntry.ts';
import { ActiveFaults } from './ActiveFaults.ts';
import { KeyValueStore, type StoredValue } from './KeyValueStore.ts';
import { LaggingHostList } from './LaggingHostList.ts';
import { PlatformCounts } from './PlatformCounts.ts';
import { platformFaultSchema, type PlatformFault } from './PlatformFault.ts';

const LOOPBACK = '127.0.0.1';
const BODY_LIMIT_BYTES = 2 * 1024 * 1024;
const VALUE_LIMIT_UNITS = 1024 * 1024;
const MAX_KEY_UNITS = 1024;
const MAX_WATCH_MS = 60_000;
/** Routes that no fault affects. */
const CONTROL_PATHS: ReadonlySet<string> = new Set(['/fault', '/counts']);

/** Options of the platform stand-in. */
export interface PlatformStandinOptions {
  /** Loopback port; 0 for any free port. */
  readonly port: number;
  /** Delay before the host list shows a change. */
  readonly hostListLagMs: number;
  /** How long a host stays listed without a heartbeat. */
  readonly hostTtlMs: number;
  /** Maximum writes per second; further ones are refused without effect. */
  readonly maxWritesPerSecond: number;
  /** Maximum reads per second; further ones are refused. A waiting watch counts as one. */
  readonly maxReadsPerSecond: number;
  /** Maximum loads of model weights per second; further ones are refused. */
  readonly maxWeightLoadsPerSecond: number;
}

/** Defaults with the limits of the users' platform. */
export const DEFAULT_PLATFORM_STANDIN_OPTIONS: PlatformStandinOptions = {
  port: 0,
  hostListLagMs: 500,
  hostTtlMs: 10_000,
  maxWritesPerSecond: 500,
  maxReadsPerSecond: 2000,
  maxWeightLoadsPerSecond: 2,
};

interface KeyRoute {
  Params: { key: string };
  Querystring: { afterVersion?: number; waitMs?: number };
}

interface SwapRoute {
  Params: { key: string };
  Body: { expectedVersion: number; value: string; leaseId?: string };
}

const watchQuerySchema = {
  type: 'object',
  properties: { afterVersion: { type: 'integer' }, waitMs: { type: 'integer', minimum: 0 } },
} as const;

const swapBodySchema = {
  type: 'object',
  required: ['expectedVersion', 'value'],
  properties: {
    expectedVersion: { type: 'integer', minimum: 0 },
    value: { type: 'string', maxLength: VALUE_LIMIT_UNITS },
    leaseId: { type: 'string' },
  },
} as const;

/** Stand-in for the platform: key-value service, host list and weight store. */
export class PlatformStandin {
  readonly #options: PlatformStandinOptions;

  readonly #fastify: FastifyInstance;

  readonly #store = new KeyValueStore(() => performance.now());

  readonly #hosts: LaggingHostList;

  readonly #faults = new ActiveFaults<PlatformFault>();

  readonly #counts = new PlatformCounts();

  readonly #weightCounts = new PlatformCounts();

  #port = 0;

  #isClosed = false;

  #frozenWaiters: (() => void)[] = [];

  private constructor(options: PlatformStandinOptions) {
    this.#options = options;
    this.#hosts = new LaggingHostList(options.hostListLagMs, options.hostTtlMs);
    this.#fastify = fastify({
      bodyLimit: BODY_LIMIT_BYTES,
      forceCloseConnections: true,
      routerOptions: { maxParamLength: MAX_KEY_UNITS },
    });
    this.#addFaultHook();
    this.#addKeyValueRoutes();
    this.#addLeaseRoutes();
    this.#addOtherRoutes();
  }

  /**
   * Starts a stand-in.
   *
   * @param options - overrides of the defaults
   * @returns the stand-in, listening
   */
  static async create(options: Partial<PlatformStandinOptions> = {}): Promise<PlatformStandin> {
    const standin = new PlatformStandin({ ...DEFAULT_PLATFORM_STANDIN_OPTIONS, ...options });
    await standin.#listen();
    return standin;
  }

  /** Base address. */
  get url(): string {
    return `http://${LOOPBACK}:${this.#port}`;
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    this.#isClosed = true;
    this.#resumeFrozen();
    await this.#fastify.close();
  }

  /**
   * Activates a fault, or ends all faults if its kind is `none`.
   *
   * @param fault - the fault
   */
  applyFault(fault: PlatformFault): void {
    this.#faults.add(fault);
    this.#resumeFrozen();
  }

  async #listen(): Promise<void> {
    await this.#fastify.listen({ host: LOOPBACK, port: this.#options.port });
    const address = this.#fastify.server.address();
    this.#port = typeof address === 'object' && address !== null ? address.port : 0;
  }

  #resumeFrozen(): void {
    const waiters = this.#frozenWaiters;
    this.#frozenWaiters = [];
    waiters.forEach((resume) => resume());
  }

  #addFaultHook(): void {
    // Runs after the body is read, so that a delayed call still takes effect.
    this.#fastify.addHook('preHandler', async (request, reply) => {
      if (CONTROL_PATHS.has(request.url)) {
        return;
      }
      while (this.#faults.get('freeze') !== null && !this.#isClosed) {
        // eslint-disable-next-line no-await-in-loop -- the fault may be active again after a resume
        await new Promise<void>((resolve) => {
          this.#frozenWaiters.push(resolve);
        });
      }
      await sleep(this.#faults.consume('slow')?.delayMs ?? 0);
      if (this.#faults.consume('cut') !== null) {
        reply.hijack();
        request.raw.socket.destroy();
      } else if (this.#faults.consume('refuse') !== null) {
        await reply.code(503).send({ hasEffect: false, detail: 'The fault `refuse` is active.' });
      }
    });
  }

  #addKeyValueRoutes(): void {
    this.#fastify.get<KeyRoute>(
      '/kv/:key',
      { schema: { querystring: watchQuerySchema } },
      async (request, reply) => {
        const { afterVersion, waitMs } = request.query;
        if (this.#counts.addRead(performance.now()) > this.#options.maxReadsPerSecond) {
          return reply.code(429).send({ hasEffect: false, detail: 'Too many reads.' });
        }
        if (afterVersion !== undefined) {
          await this.#waitForVersion(request.params.key, afterVersion, waitMs ?? 0);
        }
        const stored = this.#store.get(request.params.key);
        return stored ?? reply.code(404).send({ detail: 'The key is missing.' });
      },
    );
    this.#fastify.post<SwapRoute>(
      '/kv/:key',
      { schema: { body: swapBodySchema } },
      async (request, reply) => this.#swap(request.params.key, request.body, reply),
    );
  }

  async #swap(key: string, body: SwapRoute['Body'], reply: FastifyReply) {
    if (this.#counts.addWrite(performance.now()) > this.#options.maxWritesPerSecond) {
      return reply.code(429).send({ hasEffect: false, detail: 'Too many writes.' });
    }
    const { expectedVersion, value, leaseId } = body;
    const result = this.#store.swap(key, expectedVersion, value, leaseId ?? null);
    if (this.#faults.consume('loseAnswer') !== null) {
      reply.hijack();
      reply.raw.socket?.destroy();
      return reply;
    }
    if (result.isSwapped) {
      return { version: result.version };
    }
    return reply.code(409).send({ version: result.version, value: result.value });
  }

  async #waitForVersion(key: string, afterVersion: number, waitMs: number): Promise<void> {
    const isNewer = (stored: StoredValue | null) => (stored?.version ?? 0) > afterVersion;
    if (isNewer(this.#store.get(key))) {
      return;
    }
    const controller = new AbortController();
    const stop = this.#store.watch(key, () => {
      if (isNewer(this.#store.get(key))) {
        controller.abort();
      }
    });
    this.#counts.waitingWatchCount += 1;
    const boundedMs = Math.min(waitMs, MAX_WATCH_MS);
    await sleep(boundedMs, undefined, { signal: controller.signal, ref: false })
      .catch(() => undefined);
    this.#counts.waitingWatchCount -= 1;
    stop();
  }

  #addLeaseRoutes(): void {
    this.#fastify.post<{ Body: { ttlMs: number } }>('/leases', async (request) => {
      this.#counts.addWrite(performance.now());
      return { leaseId: this.#store.grantLease(request.body.ttlMs) };
    });
    this.#fastify.post<{ Params: { leaseId: string } }>(
      '/leases/:leaseId/renew',
      async (request, reply) => {
        this.#counts.addWrite(performance.now());
        const isRenewed = this.#store.renewLease(request.params.leaseId);
        return reply.code(isRenewed ? 200 : 404).send({ isRenewed });
      },
    );
    this.#fastify.delete<{ Params: { leaseId: string } }>('/leases/:leaseId', async (request) => {
      this.#counts.addWrite(performance.now());
      this.#store.revokeLease(request.params.leaseId);
      return { isRevoked: true };
    });
  }

  #addOtherRoutes(): void {
    this.#fastify.post<{ Body: PlatformFault }>(
      '/fault',
      { schema: { body: platformFaultSchema } },
      async (request) => {
        this.applyFault(request.body);
        return { accepted: request.body.kind };
      },
    );
    this.#fastify.get('/counts', async () => this.#counts.getReport());
    this.#fastify.get('/hosts', async () => this.#hosts.read());
    this.#fastify.put<{ Params: { hostId: string }; Body: HostListEntry }>(
      '/hosts/:hostId',
      async (request) => {
        this.#hosts.put(request.body);
        return { isListed: true };
      },
    );
    this.#fastify.delete<{ Params: { hostId: string } }>('/hosts/:hostId', async (request) => {
      this.#hosts.delete(request.params.hostId);
      return { isListed: false };
    });
    this.#fastify.get<{ Params: { model: string } }>('/weights/:model', async (request, reply) => {
      const loadCount = this.#weightCounts.addRead(performance.now());
      if (loadCount > this.#options.maxWeightLoadsPerSecond) {
        return reply.code(429).header('retry-after', '1').send({ detail: 'Too many loads.' });
      }
      return { model: request.params.model, sizeBytes: 0 };
    });
  }
}
