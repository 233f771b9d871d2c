import TinyQueue from 'tinyqueue';
import type { ManualClock } from '../../src/time/ManualClock.ts';

interface Event {
  readonly atMs: number;
  readonly sequence: number;
  run(): void;
}

/** Events under a manual clock, run in the order of their times. */
export class EventQueue {
  readonly #clock: ManualClock;

  readonly #events = new TinyQueue<Event>(
    [],
    (left, right) => left.atMs - right.atMs || left.sequence - right.sequence,
  );

  #sequence = 0;

  /**
   * @param clock - moved to the time of each event
   */
  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  /** The time of the running event. */
  get nowMs(): number {
    return this.#clock.getMonotonicMs();
  }

  /**
   * @param delayMs - from now
   * @param run - what happens then
   */
  after(delayMs: number, run: () => void): void {
    this.#sequence += 1;
    this.#events.push({ atMs: this.nowMs + Math.max(0, delayMs), sequence: this.#sequence, run });
  }

  /**
   * Runs all events up to a time.
   *
   * @param untilMs - the last time
   */
  runUntil(untilMs: number): void {
    let next = this.#events.peek();
    while (next !== undefined && next.atMs <= untilMs) {
      this.#events.pop();
      this.#clock.advance(Math.max(0, next.atMs - this.nowMs));
      next.run();
      next = this.#events.peek();
    }
  }
}
