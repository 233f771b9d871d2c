import type { CoreContext, SelfIdentity } from '../core/CoreContext.ts';
import type { CoreInput } from '../core/CoreInput.ts';
import type { CoreOutput } from '../core/CoreOutput.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { Clock } from '../time/Clock.ts';

/** The state machine that the loop runs. */
export interface Steppable {
  step(inputs: readonly CoreInput[]): void;
  getNextWakeMs(): number;
}

/** Options of {@link CoreLoop}. */
export interface CoreLoopOptions<Target extends Steppable> {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: SelfIdentity;
  /** Creates the core with the loop as its context. */
  readonly createCore: (context: CoreContext) => Target;
  /** Carries out one output. */
  readonly perform: (output: CoreOutput) => void;
}

/** Longest delay that Node's timers support. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * Runs the core: collects the inputs of one turn of Node's event loop, runs a step with them,
 * carries out the outputs, and waits for the next input or wake time.
 */
export class CoreLoop<Target extends Steppable> implements CoreContext {
  readonly core: Target;

  readonly random: RandomSource;

  readonly self: SelfIdentity;

  readonly #clock: Clock;

  readonly #perform: (output: CoreOutput) => void;

  #inputs: CoreInput[] = [];

  #outputs: CoreOutput[] = [];

  #immediate: NodeJS.Immediate | null = null;

  #timer: NodeJS.Timeout | null = null;

  #timerAtMs = Infinity;

  #isClosed = false;

  #nowMs: number;

  /**
   * @param options - see {@link CoreLoopOptions}
   */
  constructor(options: CoreLoopOptions<Target>) {
    this.#clock = options.clock;
    this.#nowMs = options.clock.getMonotonicMs();
    this.#perform = options.perform;
    this.random = options.random;
    this.self = options.self;
    this.core = options.createCore(this);
  }

  /** @inheritdoc */
  getNowMs(): number {
    return this.#nowMs;
  }

  /** @inheritdoc */
  emit(output: CoreOutput): void {
    this.#outputs.push(output);
  }

  /**
   * Queues an input for the next step.
   *
   * @param input - the input
   */
  post(input: CoreInput): void {
    this.#inputs.push(input);
    this.wake();
  }

  /** Schedules a step in this turn of the event loop. */
  wake(): void {
    // Adapters are closed after the loop and still report their aborted calls.
    if (this.#isClosed) {
      return;
    }
    this.#immediate ??= setImmediate(() => this.#runStep());
  }

  /** Stops the loop; inputs that no step has received are dropped. */
  close(): void {
    this.#isClosed = true;
    if (this.#immediate !== null) {
      clearImmediate(this.#immediate);
    }
    if (this.#timer !== null) {
      clearTimeout(this.#timer);
    }
  }

  #runStep(): void {
    this.#immediate = null;
    this.#nowMs = this.#clock.getMonotonicMs();
    const inputs = this.#inputs;
    this.#inputs = [];
    this.core.step(inputs);
    const outputs = this.#outputs;
    this.#outputs = [];
    outputs.forEach(this.#perform);
    this.#scheduleWake();
  }

  #scheduleWake(): void {
    const wakeAtMs = this.core.getNextWakeMs();
    // A timer that fires too early costs one empty step; setting it anew each time costs more.
    if (this.#timer !== null && this.#timerAtMs <= wakeAtMs && this.#timerAtMs > this.#nowMs) {
      return;
    }
    if (this.#timer !== null) {
      clearTimeout(this.#timer);
      this.#timer = null;
    }
    this.#timerAtMs = wakeAtMs;
    if (wakeAtMs !== Infinity) {
      const delayMs = Math.min(MAX_TIMER_MS, Math.max(1, Math.ceil(wakeAtMs - this.#nowMs)));
      this.#timer = setTimeout(() => this.#onTimer(), delayMs);
    }
  }

  #onTimer(): void {
    this.#timer = null;
    this.#timerAtMs = Infinity;
    this.wake();
  }
}
