import type { CoreContext, SelfIdentity } from '../core/CoreContext.ts';
import type { CoreInput } from '../core/CoreInput.ts';
import type { CoreOutput } from '../core/CoreOutput.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { Clock } from '../time/Clock.ts';

/** What the loop drives. */
export interface Steppable {
  step(inputs: readonly CoreInput[]): void;
  getNextWakeMs(): number;
}

/** What the loop needs. */
export interface CoreLoopOptions<Target extends Steppable> {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly self: SelfIdentity;
  /** Makes the core, given the loop's context. */
  readonly createCore: (context: CoreContext) => Target;
  /** Carries out one output. */
  readonly perform: (output: CoreOutput) => void;
}

/** Longest timer that Node takes. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * The one loop of the process: gathers what arrives in one turn of Node's event loop, runs a step,
 * carries out the outputs, and sleeps until the next input or wake time.
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
   * @param options - what the loop needs
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
   * Hands an input to the next step.
   *
   * @param input - what happened
   */
  post(input: CoreInput): void {
    this.#inputs.push(input);
    this.wake();
  }

  /** Runs a step in this turn of the event loop. */
  wake(): void {
    // An adapter that is closed after the loop still reports its broken calls.
    if (this.#isClosed) {
      return;
    }
    this.#immediate ??= setImmediate(() => this.#runStep());
  }

  /** Stops stepping; what was posted and not yet stepped is dropped. */
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
    // An earlier timer than needed only costs one empty step; re-arming each time costs more.
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
