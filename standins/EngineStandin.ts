import type { FastifyReply } from 'fastify';
import { EngineCache, type CachedPrefix } from './EngineCache.ts';
import { OrderLog, type EngineOrder } from './OrderLog.ts';
import { RunningAttempts } from './RunningAttempts.ts';
import { getRetryAfterS, StandinServer } from './StandinServer.ts';
import { TokenStream } from './TokenStream.ts';
import {
  DEFAULT_UPSTREAM_STANDIN_OPTIONS, type UpstreamStandinOptions,
} from './UpstreamStandinOptions.ts';

/** Stage that engines bill if the request names none. */
const ENGINE_STAGE_ID = 'generate';

/** Options of a model engine stand-in. */
export interface EngineStandinOptions extends UpstreamStandinOptions {
  /** Number of tokens in each answer. */
  readonly tokenCount: number;
  /** Time between two tokens. */
  readonly tokenMs: number;
  /** Whether the engine refuses orders with an old fencing number. */
  readonly checksFencing: boolean;
  /** Time to the first token if the prompt's prefix is cached. */
  readonly cachedServiceMs: number;
  /** Delay before cache events are published. */
  readonly cacheEventLagMs: number;
}

/** The body of a generation request. */
interface GenerateBody {
  readonly attemptId: string;
  readonly accountId: string;
  readonly stageId?: string;
  readonly prompt: string;
  readonly priority: number;
  readonly resumeFromOffset: number;
}

const generateBodySchema = {
  type: 'object',
  required: ['attemptId', 'accountId', 'prompt'],
  properties: {
    attemptId: { type: 'string', minLength: 1 },
    accountId: { type: 'string', minLength: 1 },
    stageId: { type: 'string' },
    prompt: { type: 'string' },
    priority: { type: 'number', default: 0 },
    resumeFromOffset: { type: 'integer', minimum: 0, default: 0 },
  },
} as const;

/** Stand-in for a model engine. */
export class EngineStandin {
  readonly server: StandinServer;

  readonly #options: EngineStandinOptions;

  readonly #running: RunningAttempts;

  readonly #cache: EngineCache;

  readonly #orders: OrderLog;

  private constructor(server: StandinServer, options: EngineStandinOptions) {
    this.server = server;
    this.#options = options;
    this.#running = new RunningAttempts(server);
    this.#cache = new EngineCache(options.cacheEventLagMs);
    this.#orders = new OrderLog(options.checksFencing);
    server.setCrashListener(() => this.#cache.clear());
    this.#addGenerateRoute();
    this.#addOrderRoutes();
    this.#addCacheRoutes();
  }

  /**
   * Starts a stand-in.
   *
   * @param options - overrides of the defaults
   * @returns the stand-in, listening
   */
  static async create(options: Partial<EngineStandinOptions> = {}): Promise<EngineStandin> {
    const allOptions = {
      ...DEFAULT_UPSTREAM_STANDIN_OPTIONS,
      tokenCount: 16,
      tokenMs: 1,
      checksFencing: true,
      cachedServiceMs: 1,
      cacheEventLagMs: 100,
      ...options,
    };
    const server = new StandinServer(allOptions);
    const standin = new EngineStandin(server, allOptions);
    await server.listen();
    return standin;
  }

  /** Base address. */
  get url(): string {
    return this.server.url;
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    await this.server.close();
  }

  #addGenerateRoute(): void {
    this.server.fastify.post<{ Body: GenerateBody }>(
      '/v1/generate',
      { schema: { body: generateBodySchema } },
      async (request, reply) => {
        await this.#generate(request.body, reply);
        return reply;
      },
    );
  }

  #addOrderRoutes(): void {
    const { fastify } = this.server;
    fastify.post<{ Body: EngineOrder }>('/v1/orders', async (request, reply) => {
      const fencingNumber = this.#orders.accept(request.body);
      return fencingNumber === null
        ? { isAccepted: true }
        : reply.code(409).send({ notRun: true, fencingNumber });
    });
    fastify.get('/v1/orders', async () => this.#orders.accepted);
  }

  #addCacheRoutes(): void {
    const { fastify } = this.server;
    fastify.get<{ Querystring: { after?: string } }>('/v1/cache-events', async (request) => (
      { events: this.#cache.readEvents(Number(request.query.after ?? 0)) }
    ));
    fastify.get<{ Params: { prefixDigest: string } }>(
      '/v1/kv-cache/:prefixDigest',
      async (request, reply) => {
        const prefix = this.#cache.get(request.params.prefixDigest);
        return prefix ?? reply.code(404).send({ detail: 'The prefix is not in the cache.' });
      },
    );
    fastify.post<{ Body: CachedPrefix }>('/v1/kv-cache', async (request) => {
      this.#cache.add(request.body);
      return { isImported: true };
    });
  }

  async #generate(body: GenerateBody, reply: FastifyReply): Promise<void> {
    const { server } = this;
    const refusal = await server.admit(body);
    if (refusal !== null) {
      await reply.code(refusal.statusCode)
        .header('retry-after', getRetryAfterS(refusal))
        .send({ notRun: true, detail: refusal.detail });
      return;
    }
    const { incarnation } = server;
    server.counts.addExecution(body.attemptId, null, body.prompt);
    const poison = server.faults.get('poison');
    if (poison !== null && body.prompt.includes(poison.substring)) {
      server.crash(0);
      reply.hijack();
      return;
    }
    const signal = this.#running.add(body.attemptId);
    await this.#stream(body, incarnation, signal, reply);
    this.#running.delete(body.attemptId);
    server.release(incarnation);
  }

  async #stream(
    body: GenerateBody,
    incarnation: string,
    signal: AbortSignal,
    reply: FastifyReply,
  ): Promise<void> {
    const { server } = this;
    const { attemptId } = body;
    const isCached = this.#cache.use(body.prompt);
    const firstTokenMs = isCached ? this.#options.cachedServiceMs : server.options.serviceMs;
    const isStarted = await server.spendServiceTime(firstTokenMs, signal);
    if (server.faults.consume('fail') !== null) {
      await reply.code(500).send({
        attemptId, incarnation, costMicros: 0, detail: 'The fault `fail` is active.',
      });
      return;
    }
    reply.hijack();
    reply.raw.writeHead(200, { 'content-type': 'text/event-stream' });
    const stream = new TokenStream({
      attemptId, incarnation, response: reply.raw, prompt: body.prompt, options: this.#options,
    });
    const isTruncated = server.faults.consume('truncate') !== null;
    const isRepeated = server.faults.consume('duplicate') !== null;
    const tokenCount = isStarted
      ? await stream.writeTokens(server, signal, {
        fromOffset: body.resumeFromOffset, isTruncated, isRepeated,
      })
      : 0;
    if (incarnation !== server.incarnation) {
      return;
    }
    const costMicros = server.options.priceMicros * tokenCount;
    server.counts.addBill(body.accountId, body.stageId ?? ENGINE_STAGE_ID, costMicros);
    if (server.faults.consume('loseAnswer') !== null) {
      reply.raw.socket?.destroy();
      return;
    }
    if (!isTruncated) {
      stream.writeEnd(tokenCount, costMicros);
    }
    reply.raw.end();
  }
}
