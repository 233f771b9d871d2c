import type { HostId } from '../lib/ids.ts';

/** How often news about each member has still to be carried by a message. */
export class RetransmissionCounts {
  readonly #remaining = new Map<HostId, number>();

  /**
   * @param hostId - a member with news
   * @param times - how often to carry it from now on
   */
  add(hostId: HostId, times: number): void {
    this.#remaining.set(hostId, times);
  }

  /**
   * @param hostId - a member whose news are no longer of use
   */
  remove(hostId: HostId): void {
    this.#remaining.delete(hostId);
  }

  /**
   * Takes what one message carries: the members whose news were carried the fewest times.
   *
   * @param maxCount - members in one message
   * @returns the members
   */
  take(maxCount: number): HostId[] {
    const taken = [...this.#remaining]
      .sort(([, a], [, b]) => b - a)
      .slice(0, maxCount);
    taken.forEach(([hostId, times]) => {
      if (times > 1) {
        this.#remaining.set(hostId, times - 1);
      } else {
        this.#remaining.delete(hostId);
      }
    });
    return taken.map(([hostId]) => hostId);
  }
}
