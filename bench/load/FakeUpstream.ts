import type { SendAttemptOutput } from '../../src/core/CoreOutput.ts';
import type { RandomSource } from '../../src/lib/RandomSource.ts';
import type { EventQueue } from './EventQueue.ts';

/** What an upstream answers. */
export type UpstreamResult = 'succeeded' | 'errored' | 'refused';

/** An attempt at an upstream. */
export interface UpstreamJob {
  readonly attempt: SendAttemptOutput;
  readonly finish: (result: UpstreamResult, incarnation: string) => void;
}

const MIN_SERVICE_FRACTION = 0.4;
const COLD_SLOWDOWN_FACTOR = 3;

/** A queue and a service time: some slots, the rest waits in order of arrival. */
export class FakeUpstream {
  readonly id: string;

  readonly #events: EventQueue;

  readonly #random: RandomSource;

  readonly #slots: number;

  readonly #serviceMs: number;

  readonly #coldConcurrency: number;

  readonly #warmupMs: number;

  readonly #running = new Set<UpstreamJob>();

  #queue: UpstreamJob[] = [];

  #startedAtMs: number;

  #startCount = 1;

  /** Multiplies the service time. */
  slowdownFactor = 1;

  /** Part of the attempts that end with an error. */
  errorRate = 0;

  /** Attempts that it got above what it bears while cold. */
  coldOverloadCount = 0;

  /** When it got its last attempt. */
  lastReceivedAtMs = -Infinity;

  /** Attempts run, by request and stage. */
  readonly runCounts = new Map<string, number>();

  constructor(
    id: string,
    events: EventQueue,
    random: RandomSource,
    options: { slots: number; serviceMs: number; coldConcurrency: number; warmupMs: number },
  ) {
    this.id = id;
    this.#events = events;
    this.#random = random;
    this.#slots = options.slots;
    this.#serviceMs = options.serviceMs;
    this.#coldConcurrency = options.coldConcurrency;
    this.#warmupMs = options.warmupMs;
    this.#startedAtMs = events.nowMs - 3_600_000;
  }

  get incarnation(): string {
    return `${this.id}/${this.#startCount}`;
  }

  get uptimeMs(): number {
    return this.#events.nowMs - this.#startedAtMs;
  }

  get isCold(): boolean {
    return this.uptimeMs < this.#warmupMs;
  }

  get runningCount(): number {
    return this.#running.size;
  }

  get queuedCount(): number {
    return this.#queue.length;
  }

  /** Starts anew without notice: what ran is lost, and it is cold. */
  restart(): void {
    const lost = [...this.#running, ...this.#queue];
    this.#running.clear();
    this.#queue = [];
    this.#startCount += 1;
    this.#startedAtMs = this.#events.nowMs;
    lost.forEach((job) => job.finish('errored', this.incarnation));
  }

  receive(job: UpstreamJob): void {
    this.lastReceivedAtMs = this.#events.nowMs;
    const jobCount = this.#running.size + this.#queue.length;
    if (this.isCold && jobCount >= this.#coldConcurrency) {
      this.coldOverloadCount += 1;
      job.finish('refused', this.incarnation);
      return;
    }
    this.#queue.push(job);
    this.#startNext();
  }

  cancel(attemptId: string): void {
    const isCancelled = (job: UpstreamJob) => job.attempt.attemptId === attemptId;
    const queued = this.#queue.find(isCancelled);
    const running = [...this.#running].find(isCancelled);
    if (queued !== undefined) {
      this.#queue = this.#queue.filter((job) => job !== queued);
      queued.finish('errored', this.incarnation);
    } else if (running !== undefined) {
      this.#running.delete(running);
      running.finish('errored', this.incarnation);
      this.#startNext();
    }
  }

  #startNext(): void {
    while (this.#running.size < this.#slots && this.#queue.length > 0) {
      this.#start(this.#queue.shift() as UpstreamJob);
    }
  }

  #start(job: UpstreamJob): void {
    const { requestId, stageId } = job.attempt;
    const key = `${requestId}/${stageId}`;
    this.runCounts.set(key, (this.runCounts.get(key) ?? 0) + 1);
    this.#running.add(job);
    const spread = -Math.log(1 - this.#random.getFraction()) * (1 - MIN_SERVICE_FRACTION);
    const slowness = this.isCold ? Math.max(this.slowdownFactor, COLD_SLOWDOWN_FACTOR) : this.slowdownFactor;
    const serviceMs = this.#serviceMs * (MIN_SERVICE_FRACTION + spread) * slowness;
    const isError = this.#random.getFraction() < this.errorRate;
    this.#events.after(serviceMs, () => {
      if (this.#running.delete(job)) {
        job.finish(isError ? 'errored' : 'succeeded', this.incarnation);
        this.#startNext();
      }
    });
  }
}
