import type { HostId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';

/** Suspected members with the time until which each can refute the suspicion. */
export class SuspicionTable {
  readonly #suspicionMs: number;

  readonly #deadAtMs = new Map<HostId, number>();

  /**
   * @param suspicionMs - how long a member can refute a suspicion
   */
  constructor(suspicionMs: number) {
    this.#suspicionMs = suspicionMs;
  }

  /**
   * Starts or ends the suspicion of a member according to its state.
   *
   * @param member - a member whose state changed
   * @param nowMs - monotonic time
   */
  update({ hostId, state }: MemberRecord, nowMs: number): void {
    if (state === 'suspect') {
      this.#deadAtMs.set(hostId, nowMs + this.#suspicionMs);
    } else {
      this.#deadAtMs.delete(hostId);
    }
  }

  /**
   * Returns the members that did not refute their suspicion in time.
   *
   * @param nowMs - monotonic time
   * @returns the members
   */
  getExpired(nowMs: number): HostId[] {
    return [...this.#deadAtMs]
      .filter(([, deadAtMs]) => nowMs >= deadAtMs)
      .map(([hostId]) => hostId);
  }

  /**
   * Returns when the next suspicion expires.
   *
   * @returns monotonic time; Infinity when no member is suspected
   */
  getNextWakeMs(): number {
    return Math.min(Infinity, ...this.#deadAtMs.values());
  }
}
