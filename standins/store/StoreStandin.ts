import { setTimeout as sleep } from 'node:timers/promises';
import {
  fastify, type FastifyInstance, type FastifyReply, type FastifyRequest,
} from 'fastify';
import { HEADERS, STORE_PATHS } from '../../platform/WIRE.ts';
import { StoreState, type StoreTransaction } from './StoreState.ts';

/** A fault of the store. */
export type StoreFault =
  | { readonly kind: 'none' }
  /** Refuses every call without effect. */
  | { readonly kind: 'down' }
  /** Never answers calls, which have no effect. */
  | { readonly kind: 'silent' }
  /** Runs each call and closes the connection instead of answering. */
  | { readonly kind: 'answersLost' }
  | { readonly kind: 'slow'; readonly delayMs: number };

const LOOPBACK = '127.0.0.1';
const PAGE_SIZE = 500;
const LEASE_CHECK_MS = 100;
const STATUS = {
  notFound: 404, gone: 410, conflict: 412, unavailable: 503,
} as const;

type Query = Readonly<Record<string, string | undefined>>;
type RouteHandler = (request: FastifyRequest, reply: FastifyReply) => unknown;

function getLeaseId(request: FastifyRequest): number {
  return Number((request.params as { id: string }).id);
}

function answerLease(reply: FastifyReply, exists: boolean): Record<string, never> {
  if (!exists) {
    reply.code(STATUS.notFound);
  }
  return {};
}

/** In-memory stand-in for the users' store with its published protocol, and with faults. */
export class StoreStandin {
  readonly state = new StoreState();

  readonly #fastify: FastifyInstance = fastify({ forceCloseConnections: true });

  readonly #leaseTimer: NodeJS.Timeout;

  readonly #pageSize: number;

  #port = 0;

  #isClosed = false;

  /** The active fault. */
  fault: StoreFault = { kind: 'none' };

  /** Whether answers name the era. */
  namesEra = true;

  /** Number of calls received, whatever their result. */
  callCount = 0;

  /**
   * @param pageSize - maximum number of items in one answer
   */
  constructor(pageSize = PAGE_SIZE) {
    this.#pageSize = pageSize;
    this.#route('GET', STORE_PATHS.item, (request, reply) => (
      this.#getItem(request.query as Query, reply)));
    this.#route('GET', STORE_PATHS.range, (request) => this.#getRange(request.query as Query));
    this.#route('GET', STORE_PATHS.watch, (request, reply) => (
      this.#watch(request.query as Query, reply)));
    this.#route('POST', STORE_PATHS.transaction, (request, reply) => (
      this.#apply(request.body as StoreTransaction, reply)));
    this.#route('POST', STORE_PATHS.createLease, (request) => {
      const ttlMs = Number((request.body as { ttl_ms: number }).ttl_ms);
      return { lease: this.state.createLease(ttlMs), ttl_ms: ttlMs };
    });
    this.#route('POST', `${STORE_PATHS.renewLease}:id`, (request, reply) => (
      answerLease(reply, this.state.renewLease(getLeaseId(request)))));
    this.#route('DELETE', `${STORE_PATHS.endLease}:id`, (request, reply) => (
      answerLease(reply, this.state.endLease(getLeaseId(request)))));
    this.#leaseTimer = setInterval(() => this.state.expireLeases(), LEASE_CHECK_MS);
  }

  /** IP address and port. */
  get address(): string {
    return `${LOOPBACK}:${this.#port}`;
  }

  /** @returns resolves when the store listens */
  async listen(): Promise<void> {
    await this.#fastify.listen({ host: LOOPBACK, port: 0 });
    const address = this.#fastify.server.address();
    this.#port = typeof address === 'object' && address !== null ? address.port : 0;
  }

  /**
   * Writes a value, as the operator or an upstream does.
   *
   * @param key - the key
   * @param value - the value, which is written as JSON
   */
  put(key: string, value: unknown): void {
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    this.state.apply({ expected: [], writes: [{ key, value: text }], remove: [] });
  }

  /** @param key - key to remove, as the operator or an upstream does */
  remove(key: string): void {
    this.state.apply({ expected: [], writes: [], remove: [key] });
  }

  /** Stops the store. */
  async close(): Promise<void> {
    this.#isClosed = true;
    clearInterval(this.#leaseTimer);
    await this.#fastify.close();
  }

  #route(method: 'GET' | 'POST' | 'DELETE', url: string, handler: RouteHandler): void {
    this.#fastify.route({
      method,
      url,
      handler: async (request, reply) => {
        this.callCount += 1;
        const { fault } = this;
        if (this.namesEra) {
          reply.header(HEADERS.storeEra, String(this.state.era));
        }
        if (fault.kind === 'down') {
          return reply.code(STATUS.unavailable).send({});
        }
        if (fault.kind === 'silent') {
          return new Promise(() => {});
        }
        if (fault.kind === 'slow') {
          await sleep(fault.delayMs);
        }
        const answer = await handler(request, reply);
        if (this.namesEra) {
          reply.header(HEADERS.storeEra, String(this.state.era));
        }
        if (fault.kind === 'answersLost') {
          reply.raw.destroy();
        }
        return answer ?? {};
      },
    });
  }

  #getItem({ key = '' }: Query, reply: FastifyReply): unknown {
    const item = this.state.getItem(key);
    if (item === undefined) {
      reply.code(STATUS.notFound);
    }
    return { ...item, as_of: this.state.revision };
  }

  #getRange(query: Query): unknown {
    const { items, hasMore } = this.state.getRange(
      query.prefix ?? '',
      query.after ?? '',
      this.#pageSize,
    );
    return { items, has_more: hasMore, as_of: this.state.revision };
  }

  async #watch(query: Query, reply: FastifyReply): Promise<unknown> {
    const prefix = query.prefix ?? '';
    const after = Number(query.after);
    if (this.state.getEvents(prefix, after)?.length === 0) {
      await this.#waitForChange(Number(query.wait_ms));
    }
    const events = this.state.getEvents(prefix, after);
    if (events === null) {
      reply.code(STATUS.gone);
      return {};
    }
    return { events, as_of: this.state.revision };
  }

  async #waitForChange(waitMs: number): Promise<void> {
    if (this.#isClosed) {
      return;
    }
    await new Promise<void>((resolve) => {
      let removeListener = (): void => {};
      const timer = setTimeout(() => {
        removeListener();
        resolve();
      }, waitMs);
      removeListener = this.state.addListener(() => {
        clearTimeout(timer);
        removeListener();
        resolve();
      });
    });
  }

  #apply(transaction: StoreTransaction, reply: FastifyReply): unknown {
    const result = this.state.apply(transaction);
    switch (result.kind) {
      case 'done':
        return { rev: result.rev };
      case 'conflict':
        reply.code(STATUS.conflict);
        return { items: result.items };
      default:
        reply.code(STATUS.notFound);
        return {};
    }
  }
}
