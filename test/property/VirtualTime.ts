import TinyQueue from 'tinyqueue';
import { ManualClock } from '../../src/time/ManualClock.ts';

interface Sleeper {
  readonly atMs: number;
  readonly order: number;
  readonly wake: () => void;
}

/** Microtask turns after each wake-up; more than one step of any loop under test needs. */
const FLUSH_TURNS = 12;

/** Simulated time for loops that sleep; advances only in {@link VirtualTime.run}. */
export class VirtualTime {
  readonly clock = new ManualClock();

  readonly #startMs = this.clock.getMonotonicMs();

  readonly #sleepers = new TinyQueue<Sleeper>([], (left, right) => (
    left.atMs - right.atMs || left.order - right.order));

  #order = 0;

  /** Time since the start, in milliseconds. */
  get nowMs(): number {
    return this.clock.getMonotonicMs() - this.#startMs;
  }

  /**
   * Waits for a duration of simulated time.
   *
   * @param durationMs - the duration
   * @returns a promise that resolves when the duration has passed
   */
  sleep(durationMs: number): Promise<void> {
    this.#order += 1;
    const order = this.#order;
    return new Promise((wake) => {
      this.#sleepers.push({ atMs: this.nowMs + durationMs, order, wake });
    });
  }

  /**
   * Advances the time and wakes the sleepers that are due by then.
   *
   * @param durationMs - time to pass
   */
  async run(durationMs: number): Promise<void> {
    const untilMs = this.nowMs + durationMs;
    for (let next = this.#sleepers.peek(); next !== undefined && next.atMs <= untilMs;
      next = this.#sleepers.peek()) {
      this.#sleepers.pop();
      this.clock.advance(Math.max(0, next.atMs - this.nowMs));
      next.wake();
      for (let turn = 0; turn < FLUSH_TURNS; turn += 1) {
        // eslint-disable-next-line no-await-in-loop -- lets the woken loop continue
        await Promise.resolve();
      }
    }
    this.clock.advance(Math.max(0, untilMs - this.nowMs));
  }
}
