import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';

/**
 * Span in which a share may be used once. A little over the second for which the bound holds, since
 * requests that leave at one pace don't arrive at quite the same.
 */
const WINDOW_MS = 1_150;

/**
 * Keeps the requests that one upstream gets from all hosts together under what it bears when cold.
 * Each host has an equal share and needs no word from the others, so that the sum holds for hosts
 * that are cut off as well. The bound always applies, since an upstream turns cold without notice.
 */
export class ColdStartLimiter {
  readonly #clock: Clock;

  readonly #sendsMs = new Map<UpstreamId, number[]>();

  /**
   * @param clock - dates the sends
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param id - an upstream
   * @param share - sends that this host may make within a second
   * @returns how long to wait before the next send; 0 for now
   */
  getWaitMs(id: UpstreamId, share: number): number {
    const nowMs = this.#clock.getMonotonicMs();
    const recent = (this.#sendsMs.get(id) ?? []).filter((sentAtMs) => sentAtMs > nowMs - WINDOW_MS);
    this.#sendsMs.set(id, recent);
    const blocking = recent.length < share ? undefined : recent[recent.length - share];
    return blocking === undefined ? 0 : Math.max(1, blocking + WINDOW_MS - nowMs);
  }

  /** @param id - an upstream to which a request is sent now */
  recordSend(id: UpstreamId): void {
    const sends = this.#sendsMs.get(id) ?? [];
    sends.push(this.#clock.getMonotonicMs());
    this.#sendsMs.set(id, sends);
  }
}
