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
/** Routes that answer whatever fault is active. */
const CONTROL_PATHS: ReadonlySet<string> = new Set(['/fault', '/counts']);

/** Why an attempt was not run. */
export interface StandinRefusal {
  readonly statusCode: 429 | 503;
  readonly retryAfterS: number;
  readonly detail: string;
}

/** The state and the routes that all upstream stand-ins share. */
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
   * @param options - size, price and cold behaviour
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

  /** This start of the stand-in; a crash gives a new one. */
  get incarnation(): string {
    return this.#incarnation;
  }

  /** Whether the stand-in bears only its cold capacity now. */
  get isCold(): boolean {
    return performance.now() < this.#warmAtMs;
  }

  /**
   * @param onCrash - called at each crash, to lose what the incarnation held
   */
  setCrashListener(onCrash: () => void): void {
    this.#onCrash = onCrash;
  }

  /** Listens at a free port of the loopback interface, or at the port of the options. */
  async listen(): Promise<void> {
    await this.fastify.listen({ host: LOOPBACK, port: this.options.port });
    const address = this.fastify.server.address();
    this.#port = typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Stops listening and breaks all connections. */
  async close(): Promise<void> {
    this.#isClosed = true;
    this.#resumeFrozen();
    this.#slots.clear();
    this.#incarnationEnd.abort();
    this.#sockets.forEach((socket) => socket.destroy());
    await this.fastify.close();
  }

  /**
   * Takes a slot for an attempt and counts its execution.
   *
   * @param attempt - who asks, for the counts
   * @returns null when it runs now; the caller then calls `release` once
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
      return this.#refuse(503, 1, 'The upstream is cold and has no room.');
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
   * Frees the slot of an attempt.
   *
   * @param incarnation - the one in which the attempt began; a crash has freed all older slots
   */
  release(incarnation: string): void {
    if (incarnation === this.#incarnation) {
      this.#slots.release();
    }
  }

  /**
   * Breaks all connections; a new, cold incarnation takes over.
   *
   * @param downMs - how long no connection is accepted
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
   * Waits while the stand-in is frozen.
   *
   * @returns when it answers again
   */
  async waitWhileFrozen(): Promise<void> {
    while (this.faults.get('freeze') !== null && !this.#isClosed) {
      // eslint-disable-next-line no-await-in-loop -- frozen again after a thaw
      await new Promise<void>((resolve) => {
        this.#frozenWaiters.push(resolve);
      });
    }
  }

  /**
   * Spends the service time of an attempt, with the delay of the fault `slow`.
   *
   * @param serviceMs - the time without fault
   * @param signal - ends the wait early
   * @returns whether the time was spent to its end
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
    // After the body is read, so that a frozen stand-in does later what it was sent.
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
   * Starts a fault, or ends all of them by `none`.
   *
   * @param fault - what goes wrong from now on
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

/** An attempt as the shared part sees it. */
export interface StandinAttempt {
  readonly attemptId: string;
  /** Lower runs earlier. */
  readonly priority: number;
}

/**
 * @param refusal - why an attempt was not run
 * @returns the value of the header `Retry-After`, in whole seconds
 */
export function getRetryAfterS(refusal: StandinRefusal): string {
  return String(Math.ceil(refusal.retryAfterS));
}
