import type { UpstreamId } from '../lib/ids.ts';
import type { Clock } from '../time/Clock.ts';

/**
 * Window in which a share may be used once. Slightly longer than the second that the limit applies
 * to, because requests sent at a constant rate do not arrive at exactly that rate.
 */
const WINDOW_MS = 1_150;

/**
 * Keeps the requests from all hosts to one upstream within its cold start limit. Each host uses an
 * equal share without communicating, so the total also holds when hosts are cut off. The limit
 * always applies, because an upstream becomes cold without notice.
 */
export class ColdStartLimiter {
  readonly #clock: Clock;

  readonly #sendsMs = new Map<UpstreamId, number[]>();

  /**
   * @param clock - provides the times of the sends
   */
  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * @param id - an upstream
   * @param share - sends per second that this host may make
   * @returns time to wait before the next send; 0 when it may happen now
   */
  getWaitMs(id: UpstreamId, share: number): number {
    const nowMs = this.#clock.getMonotonicMs();
    const recent = (this.#sendsMs.get(id) ?? []).filter((sentAtMs) => sentAtMs > nowMs - WINDOW_MS);
    this.#sendsMs.set(id, recent);
    const blocking = recent.length < share ? undefined : recent[recent.length - share];
    return blocking === undefined ? 0 : Math.max(1, blocking + WINDOW_MS - nowMs);
  }

  /** @param id - an upstream that a request is sent to now */
  recordSend(id: UpstreamId): void {
    const sends = this.#sendsMs.get(id) ?? [];
    sends.push(this.#clock.getMonotonicMs());
    this.#sendsMs.set(id, sends);
  }
}
