import type { ServingRoute } from '../directory/ServingConfiguration.ts';
import type { Clock } from '../time/Clock.ts';

/** Answered requests of a route whose durations are remembered. */
const MAX_SAMPLES = 32;

/** Tells during a planned stop which requests can still be answered before its end. */
export class StopDeadline {
  readonly #clock: Clock;

  /** Durations of the last answered requests, by route name, the oldest first. */
  readonly #durationsMs = new Map<string, number[]>();

  /** Monotonic time at which open requests are ended; null while the host does not stop. */
  #endsAtMs: number | null = null;

  /**
   * @param clock - the time
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** @param endsAtMs - monotonic time at which open requests are ended */
  set(endsAtMs: number): void {
    this.#endsAtMs = endsAtMs;
  }

  /**
   * @param routeName - the route of an answered request
   * @param durationMs - time from its arrival to the end of its answer
   */
  recordAnswered(routeName: string, durationMs: number): void {
    const durationsMs = this.#durationsMs.get(routeName) ?? [];
    durationsMs.push(durationMs);
    if (durationsMs.length > MAX_SAMPLES) {
      durationsMs.shift();
    }
    this.#durationsMs.set(routeName, durationsMs);
  }

  /**
   * Decides whether a request that arrives now would be cut off. Load pattern: requests of some
   * routes last longer than the rest of the grace, while others last milliseconds.
   *
   * @param route - its route
   * @param remainingMs - time until its own deadline
   * @returns whether neither its deadline nor the longest of its route's last requests ends in
   * time; without such requests, the route's latency target takes their place
   */
  isTooLate(route: ServingRoute, remainingMs: number): boolean {
    if (this.#endsAtMs === null) {
      return false;
    }
    const leftMs = this.#endsAtMs - this.#clock.getMonotonicMs();
    const durationsMs = this.#durationsMs.get(route.name);
    const expectedMs = durationsMs === undefined ? route.targetLatencyMs : Math.max(...durationsMs);
    return Math.min(remainingMs, expectedMs) > leftMs;
  }
}
