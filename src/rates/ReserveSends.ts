import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';

/** Upstreams whose sends are kept before those of long ago are looked for. */
const MAX_UPSTREAM_COUNT = 1_024;

/** Sends that this host has made without leave of the host which keeps the sum. */
export class ReserveSends {
  readonly #clock: Clock;

  readonly #sentAtMs = new Map<UpstreamId, number[]>();

  /** Sends that the host which keeps the sum has not heard of. */
  readonly #unreported = new Map<UpstreamId, number>();

  /**
   * @param clock - dates the sends
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param id - an upstream
   * @param share - sends that are allowed within a window
   * @param windowMs - the window
   * @returns time until one more is allowed; infinite where there is no share
   */
  getWaitMs(id: UpstreamId, share: number, windowMs: number): number {
    const recent = this.#getRecent(id, windowMs);
    if (share === 0) {
      return Infinity;
    }
    const blocking = recent.length < share ? undefined : recent[recent.length - share];
    return blocking === undefined
      ? 0
      : Math.max(1, blocking + windowMs - this.#clock.getMonotonicMs());
  }

  /** @param id - an upstream to which something is sent now */
  record(id: UpstreamId): void {
    if (this.#sentAtMs.size >= MAX_UPSTREAM_COUNT && !this.#sentAtMs.has(id)) {
      this.#sentAtMs.clear();
    }
    const sends = this.#sentAtMs.get(id) ?? [];
    sends.push(this.#clock.getMonotonicMs());
    this.#sentAtMs.set(id, sends);
    this.#unreported.set(id, (this.#unreported.get(id) ?? 0) + 1);
  }

  /**
   * @param id - an upstream
   * @returns sends since the last call
   */
  takeUnreported(id: UpstreamId): number {
    const count = this.#unreported.get(id) ?? 0;
    this.#unreported.delete(id);
    return count;
  }

  #getRecent(id: UpstreamId, windowMs: number): readonly number[] {
    const sinceMs = this.#clock.getMonotonicMs() - windowMs;
    const sends = this.#sentAtMs.get(id) ?? [];
    while ((sends[0] ?? Infinity) <= sinceMs) {
      sends.shift();
    }
    if (sends.length === 0) {
      this.#sentAtMs.delete(id);
    }
    return sends;
  }
}
