import type { SendAttemptOutput } from '../../src/core/CoreOutput.ts';
import type { CoreInput } from '../../src/core/CoreInput.ts';
import type { EventQueue } from './EventQueue.ts';

const SERVICE_MS = 40;
const SLOW_FACTOR = 10;
const COST_MICROS = 10;
const INITIAL_UPTIME_MS = 100_000;

interface RunningAttempt {
  readonly attempt: SendAttemptOutput;
  reply(input: CoreInput): void;
}

/** What upstreams tell of themselves to the test. */
export interface UpstreamListener {
  onArrival(attempt: SendAttemptOutput, upstream: FaultUpstream): void;
  onChunk(): void;
  onBill(costMicros: number): void;
}

function createFailure(
  { attemptId }: SendAttemptOutput,
  failure: 'errored' | 'crashed',
  detail: string,
): CoreInput {
  return {
    kind: 'attemptFailed', attemptId, failure, costMicros: 0, retryAfterMs: null, detail,
  };
}

function getOutput({ stageId, input }: SendAttemptOutput): string {
  return `${stageId}(${input})`;
}

/** An upstream that takes a fixed time, can be slow, dies, and can lose an answer. */
export class FaultUpstream {
  readonly id: string;

  readonly failureDomainId: string;

  isSlow = false;

  /** The next answer of a non-repeatable stage is lost after its effect. */
  losesNextAnswer = false;

  repeatsAnswers = false;

  readonly #queue: EventQueue;

  readonly #listener: UpstreamListener;

  readonly #running = new Map<string, RunningAttempt>();

  #incarnation = 1;

  #startedAtMs = -INITIAL_UPTIME_MS;

  /**
   * @param id - the upstream
   * @param failureDomainId - where it is
   * @param queue - schedules its answers
   * @param listener - is told of what arrives
   */
  constructor(
    id: string,
    failureDomainId: string,
    queue: EventQueue,
    listener: UpstreamListener,
  ) {
    this.id = id;
    this.failureDomainId = failureDomainId;
    this.#queue = queue;
    this.#listener = listener;
  }

  /** @returns time since its start */
  get uptimeMs(): number {
    return this.#queue.nowMs - this.#startedAtMs;
  }

  /** @returns attempts that run */
  get runningCount(): number {
    return this.#running.size;
  }

  /** @returns the name of its present start */
  get incarnation(): string {
    return `${this.id}-${this.#incarnation}`;
  }

  /**
   * @param attempt - an attempt that arrived
   * @param reply - takes what its host gets back
   */
  accept(attempt: SendAttemptOutput, reply: (input: CoreInput) => void): void {
    const running = { attempt, reply };
    this.#running.set(attempt.attemptId, running);
    this.#listener.onArrival(attempt, this);
    if (attempt.stageId === 'generate' && attempt.input.includes('poison')) {
      this.#queue.schedule(1, () => this.crash());
      return;
    }
    const serviceMs = this.isSlow ? SERVICE_MS * SLOW_FACTOR : SERVICE_MS;
    this.#queue.schedule(serviceMs / 2, () => this.#stream(running));
    this.#queue.schedule(serviceMs, () => this.#finish(running));
  }

  /**
   * @param attemptId - an attempt whose result nobody wants
   */
  cancel(attemptId: string): void {
    const running = this.#running.get(attemptId);
    if (this.#running.delete(attemptId)) {
      running?.reply(createFailure(running.attempt, 'errored', 'cancelled'));
    }
  }

  /** Dies with everything that it runs and starts again, cold. */
  crash(): void {
    const running = [...this.#running.values()];
    this.#running.clear();
    this.#incarnation += 1;
    this.#startedAtMs = this.#queue.nowMs;
    running.forEach(({ attempt, reply }) => (
      reply(createFailure(attempt, 'crashed', 'connection reset'))
    ));
  }

  #stream({ attempt, reply }: RunningAttempt): void {
    if (!this.#running.has(attempt.attemptId) || attempt.poolKind !== 'engine') {
      return;
    }
    const text = getOutput(attempt).slice(0, 4);
    const { attemptId } = attempt;
    const chunk: CoreInput = {
      kind: 'attemptChunk', attemptId, upstreamIncarnation: this.incarnation, offset: 0, text,
    };
    reply(chunk);
    if (this.repeatsAnswers) {
      reply(chunk);
    }
    this.#listener.onChunk();
  }

  #finish({ attempt, reply }: RunningAttempt): void {
    if (!this.#running.delete(attempt.attemptId)) {
      return;
    }
    this.#listener.onBill(COST_MICROS);
    if (this.losesNextAnswer && attempt.stageId === 'confirm') {
      this.losesNextAnswer = false;
      reply(createFailure(attempt, 'crashed', 'answer lost after the effect'));
      return;
    }
    const result: CoreInput = {
      kind: 'attemptSucceeded',
      attemptId: attempt.attemptId,
      upstreamIncarnation: this.incarnation,
      output: getOutput(attempt),
      costMicros: COST_MICROS,
    };
    reply(result);
    if (this.repeatsAnswers) {
      reply(result);
    }
  }
}
