import { randomBytes } from 'node:crypto';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { fastify, type FastifyInstance } from 'fastify';
import { ActiveFaults } from './ActiveFaults.ts';
import { StandinCounts } from './StandinCounts.ts';
import { standinFaultSchema, type StandinFault } from './StandinFault.ts';
import type { UpstreamStandinOptions } from './UpstreamStandinOptions.ts';
import { WorkSlots } from './WorkSlots.ts';

const LOOPBACK = '127.0.0.1';
const INCARNATION_BYTES = 16;
const BODY_LIMIT_BYTES = 8 * 1024 * 1024;
/** Routes that no fault affects. */
const CONTROL_PATHS: ReadonlySet<string> = new Set(['/fault', '/counts']);

/** Refusal of an attempt that was not run. */
export interface StandinRefusal {
  readonly statusCode: 429 | 503;
  readonly retryAfterS: number;
  readonly detail: string;
}

/** State and routes that all upstream stand-ins share. */
export class StandinServer {
  readonly fastify: FastifyInstance;

  readonly options: UpstreamStandinOptions;

  readonly counts = new StandinCounts();

  readonly faults = new ActiveFaults<StandinFault>();

  #incarnation = randomBytes(INCARNATION_BYTES).toString('hex');

  #slots: WorkSlots;

  #startedAtMs = performance.now();

  #warmAtMs: number;

  #port = 0;

  #onCrash: (() => void) | null = null;

  #isClosed = false;

  /** Aborted when the incarnation ends. */
  #incarnationEnd = new AbortController();

  readonly #sockets = new Set<Socket>();

  #frozenWaiters: (() => void)[] = [];

  /**
   * @param options - capacity, price and cold start behaviour
   */
  constructor(options: UpstreamStandinOptions) {
    this.options = options;
    this.#slots = new WorkSlots(options.capacity, options.queueLimit);
    this.#warmAtMs = this.#startedAtMs + options.warmupMs;
    this.fastify = fastify({ bodyLimit: BODY_LIMIT_BYTES, forceCloseConnections: true });
    this.#trackSockets();
    this.#addFaultHook();
    this.#addRoutes();
  }

  /** Base address. */
  get url(): string {
    return `http://${LOOPBACK}:${this.#port}`;
  }

  /** Id of the current incarnation; a crash starts a new one. */
  get incarnation(): string {
    return this.#incarnation;
  }

  /** Whether the stand-in has only its cold capacity now. */
  get isCold(): boolean {
    return performance.now() < this.#warmAtMs;
  }

  /**
   * @param onCrash - called on each crash, to clear the state of the incarnation
   */
  setCrashListener(onCrash: () => void): void {
    this.#onCrash = onCrash;
  }

  /** Listens on the loopback port of the options, or on a free one if that is 0. */
  async listen(): Promise<void> {
    await this.fastify.listen({ host: LOOPBACK, port: this.options.port });
    const address = this.fastify.server.address();
    this.#port = typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Stops listening and closes all connections. */
  async close(): Promise<void> {
    this.#isClosed = true;
    this.#resumeFrozen();
    this.#slots.clear();
    this.#incarnationEnd.abort();
    this.#sockets.forEach((socket) => socket.destroy());
    await this.fastify.close();
  }

  /**
   * Counts the send of an attempt and waits for a slot to run it.
   *
   * @param attempt - the attempt
   * @returns null if the attempt may run; the caller then calls `release` once
   */
  async admit(attempt: StandinAttempt): Promise<StandinRefusal | null> {
    this.counts.addSend(attempt.attemptId);
    const refuseFault = this.faults.consume('refuse');
    if (refuseFault !== null) {
      return this.#refuse(503, refuseFault.retryAfterS ?? 1, 'The fault `refuse` is active.');
    }
    if (this.#isColdCapacityUsed()) {
      this.counts.overloadCount += 1;
      if (this.options.fallsOverCold) {
        this.crash(0);
      }
      return this.#refuse(503, 1, 'The upstream is cold and its capacity is used.');
    }
    const { incarnation } = this;
    const isAdmitted = await this.#slots.acquire(attempt.priority);
    if (!isAdmitted || incarnation !== this.#incarnation) {
      return this.#refuse(429, 1, 'The queue is full.');
    }
    this.#countColdConcurrency();
    return null;
  }

  /**
   * Releases the slot of an attempt.
   *
   * @param incarnation - the incarnation that admitted the attempt; a crash releases all its slots
   */
  release(incarnation: string): void {
    if (incarnation === this.#incarnation) {
      this.#slots.release();
    }
  }

  /**
   * Closes all connections and starts a new, cold incarnation.
   *
   * @param downMs - time in which no connection is accepted
   */
  crash(downMs: number): void {
    this.counts.crashCount += 1;
    this.#onCrash?.();
    this.#incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
    this.#incarnationEnd.abort();
    this.#incarnationEnd = new AbortController();
    this.#slots.clear();
    this.#slots = new WorkSlots(this.options.capacity, this.options.queueLimit);
    this.#startedAtMs = performance.now() + downMs;
    this.#warmAtMs = this.#startedAtMs + this.options.warmupMs;
    this.#sockets.forEach((socket) => socket.destroy());
    if (downMs > 0) {
      this.fastify.server.close();
      setTimeout(() => this.#listenAgain(), downMs).unref();
    }
  }

  /**
   * Waits while the fault `freeze` is active.
   *
   * @returns resolves when the stand-in answers again
   */
  async waitWhileFrozen(): Promise<void> {
    while (this.faults.get('freeze') !== null && !this.#isClosed) {
      // eslint-disable-next-line no-await-in-loop -- the fault may be active again after a resume
      await new Promise<void>((resolve) => {
        this.#frozenWaiters.push(resolve);
      });
    }
  }

  /**
   * Waits for the service time of an attempt, plus the delay of the fault `slow`.
   *
   * @param serviceMs - the service time without the fault
   * @param signal - ends the wait early
   * @returns whether the wait was not ended early
   */
  async spendServiceTime(serviceMs: number, signal: AbortSignal): Promise<boolean> {
    const totalMs = serviceMs + (this.faults.consume('slow')?.delayMs ?? 0);
    if (totalMs > 0) {
      try {
        const ends = AbortSignal.any([signal, this.#incarnationEnd.signal]);
        await sleep(totalMs, undefined, { signal: ends });
      } catch {
        return false;
      }
    }
    await this.waitWhileFrozen();
    return true;
  }

  #refuse(statusCode: 429 | 503, retryAfterS: number, detail: string): StandinRefusal {
    this.counts.refusalCount += 1;
    return { statusCode, retryAfterS, detail };
  }

  #isColdCapacityUsed(): boolean {
    return this.isCold && this.#slots.runningCount >= this.options.coldCapacity;
  }

  #countColdConcurrency(): void {
    if (this.isCold) {
      const { runningCount } = this.#slots;
      this.counts.maxColdConcurrency = Math.max(this.counts.maxColdConcurrency, runningCount);
    }
  }

  #listenAgain(): void {
    if (!this.#isClosed) {
      this.fastify.server.listen(this.#port, LOOPBACK);
    }
  }

  #resumeFrozen(): void {
    const waiters = this.#frozenWaiters;
    this.#frozenWaiters = [];
    waiters.forEach((resume) => resume());
  }

  #trackSockets(): void {
    this.fastify.server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
  }

  #addFaultHook(): void {
    // Runs after the body is read, so that a frozen stand-in runs received requests later.
    this.fastify.addHook('preHandler', async (request, reply) => {
      if (CONTROL_PATHS.has(request.url)) {
        return;
      }
      await this.waitWhileFrozen();
      if (this.faults.consume('cut') !== null) {
        reply.hijack();
        request.raw.socket.destroy();
      }
    });
  }

  #addRoutes(): void {
    this.fastify.post<{ Body: StandinFault }>(
      '/fault',
      { schema: { body: standinFaultSchema } },
      async (request, reply) => {
        await reply.send({ accepted: request.body.kind });
        this.applyFault(request.body);
      },
    );
    this.fastify.get('/counts', async () => this.counts.getReport());
    this.fastify.get('/load', async () => this.#getLoad());
  }

  /**
   * Activates a fault, or ends all faults if its kind is `none`.
   *
   * @param fault - the fault
   */
  applyFault(fault: StandinFault): void {
    switch (fault.kind) {
      case 'crash':
        this.crash(fault.downMs ?? 0);
        break;
      case 'cool':
        this.#warmAtMs = performance.now() + this.options.warmupMs;
        break;
      default:
        this.faults.add(fault);
        this.#resumeFrozen();
    }
  }

  #getLoad() {
    return {
      incarnation: this.#incarnation,
      uptimeMs: Math.round(performance.now() - this.#startedAtMs),
      runningCount: this.#slots.runningCount,
      queuedCount: this.#slots.queuedCount,
      capacity: this.isCold ? this.options.coldCapacity : this.options.capacity,
    };
  }
}

/** An attempt, with the fields that all upstream stand-ins use. */
export interface StandinAttempt {
  readonly attemptId: string;
  /** Lower values run earlier. */
  readonly priority: number;
}

/**
 * Formats the header `Retry-After` of a refusal.
 *
 * @param refusal - the refusal
 * @returns the value in whole seconds
 */
export function getRetryAfterS(refusal: StandinRefusal): string {
  return String(Math.ceil(refusal.retryAfterS));
}
