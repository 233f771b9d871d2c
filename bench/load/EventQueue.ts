import TinyQueue from 'tinyqueue';
import type { ManualClock } from '../../src/time/ManualClock.ts';

interface Event {
  readonly atMs: number;
  readonly sequence: number;
  run(): void;
}

/** Runs scheduled events in the order of their times, under a manual clock. */
export class EventQueue {
  readonly #clock: ManualClock;

  readonly #events = new TinyQueue<Event>(
    [],
    (left, right) => left.atMs - right.atMs || left.sequence - right.sequence,
  );

  #sequence = 0;

  /**
   * @param clock - the clock, which is advanced to the time of each event
   */
  constructor(clock: ManualClock) {
    this.#clock = clock;
  }

  /** The time of the current event, in milliseconds. */
  get nowMs(): number {
    return this.#clock.getMonotonicMs();
  }

  /**
   * Schedules an event.
   *
   * @param delayMs - delay from now
   * @param run - called when the event is due
   */
  after(delayMs: number, run: () => void): void {
    this.#sequence += 1;
    this.#events.push({ atMs: this.nowMs + Math.max(0, delayMs), sequence: this.#sequence, run });
  }

  /**
   * Runs all events that are due up to a time.
   *
   * @param untilMs - the time, inclusive
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
