import type { HostId } from '../lib/ids.ts';

/** Remaining transmissions of the update about each member. */
export class RetransmissionCounts {
  readonly #remaining = new Map<HostId, number>();

  /**
   * Sets the transmissions of a member's update.
   *
   * @param hostId - a member that changed
   * @param times - number of messages that will include the update
   */
  add(hostId: HostId, times: number): void {
    this.#remaining.set(hostId, times);
  }

  /**
   * Removes a member's update.
   *
   * @param hostId - a member whose update is no longer needed
   */
  remove(hostId: HostId): void {
    this.#remaining.delete(hostId);
  }

  /**
   * Selects the updates for one message, those with the most remaining transmissions first, and
   * counts one transmission of each.
   *
   * @param maxCount - most updates in one message
   * @returns the members to include
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
