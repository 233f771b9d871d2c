import TinyQueue from 'tinyqueue';
import type { ManualClock } from '../../src/time/ManualClock.ts';

interface QueuedEvent {
  readonly atMs: number;
  readonly order: number;
  run(): void;
}

/** Event queue under a manual clock; events due at the same time run in scheduling order. */
export class EventQueue {
  readonly #clock: ManualClock;

  readonly #events = new TinyQueue<QueuedEvent>(
    [],
    (left, right) => left.atMs - right.atMs || left.order - right.order,
  );

  #order = 0;

  /**
   * @param clock - clock that {@link run} advances
   */
  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  /** @returns the current time */
  get nowMs(): number {
    return this.#clock.getMonotonicMs();
  }

  /**
   * @param delayMs - delay from now
   * @param run - runs the event
   */
  schedule(delayMs: number, run: () => void): void {
    this.#order += 1;
    this.#events.push({ atMs: this.nowMs + Math.max(0, delayMs), order: this.#order, run });
  }

  /**
   * Runs all events due by a time, in order.
   *
   * @param endMs - the time to which the clock advances
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
