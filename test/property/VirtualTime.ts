import TinyQueue from 'tinyqueue';
import { ManualClock } from '../../src/time/ManualClock.ts';

interface Sleeper {
  readonly atMs: number;
  readonly order: number;
  readonly wake: () => void;
}

/** Turns of the microtask queue after a wake; more than a step of any loop here takes. */
const FLUSH_TURNS = 12;

/** Time that passes only when it is told to, for loops that sleep. */
export class VirtualTime {
  readonly clock = new ManualClock();

  readonly #startMs = this.clock.getMonotonicMs();

  readonly #sleepers = new TinyQueue<Sleeper>([], (left, right) => (
    left.atMs - right.atMs || left.order - right.order));

  #order = 0;

  /** Time since the start. */
  get nowMs(): number {
    return this.clock.getMonotonicMs() - this.#startMs;
  }

  /**
   * @param durationMs - how long
   * @returns when the time has passed
   */
  sleep(durationMs: number): Promise<void> {
    this.#order += 1;
    const order = this.#order;
    return new Promise((wake) => {
      this.#sleepers.push({ atMs: this.nowMs + durationMs, order, wake });
    });
  }

  /** @param durationMs - lets so much time pass, and wakes who sleeps until then */
  async run(durationMs: number): Promise<void> {
    const untilMs = this.nowMs + durationMs;
    for (let next = this.#sleepers.peek(); next !== undefined && next.atMs <= untilMs;
      next = this.#sleepers.peek()) {
      this.#sleepers.pop();
      this.clock.advance(Math.max(0, next.atMs - this.nowMs));
      next.wake();
      for (let turn = 0; turn < FLUSH_TURNS; turn += 1) {
        // eslint-disable-next-line no-await-in-loop -- lets what was woken go on
        await Promise.resolve();
      }
    }
    this.clock.advance(Math.max(0, untilMs - this.nowMs));
  }
}
