import TinyQueue from 'tinyqueue';
import type { ManualClock } from '../../src/time/ManualClock.ts';

interface QueuedEvent {
  readonly atMs: number;
  readonly order: number;
  run(): void;
}

/** What happens later, under a manual clock; events of one time run in the order of scheduling. */
export class EventQueue {
  readonly #clock: ManualClock;

  readonly #events = new TinyQueue<QueuedEvent>(
    [],
    (left, right) => left.atMs - right.atMs || left.order - right.order,
  );

  #order = 0;

  /**
   * @param clock - moved forward by {@link run}
   */
  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  /** @returns the present time */
  get nowMs(): number {
    return this.#clock.getMonotonicMs();
  }

  /**
   * @param delayMs - from now
   * @param run - what happens then
   */
  schedule(delayMs: number, run: () => void): void {
    this.#order += 1;
    this.#events.push({ atMs: this.nowMs + Math.max(0, delayMs), order: this.#order, run });
  }

  /**
   * Runs events in order.
   *
   * @param endMs - the time at which to stop
   */
  run(endMs: number): void {
    let next = this.#events.peek();
    while (next !== undefined && next.atMs <= endMs) {
      this.#events.pop();
      this.#clock.advance(Math.max(0, next.atMs - this.nowMs));
      next.run();
      next = this.#events.peek();
    }
    this.#clock.advance(Math.max(0, endMs - this.nowMs));
  }
}
