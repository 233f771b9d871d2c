import type { HostId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';

/** Until when each suspected member can object. */
export class SuspicionTable {
  readonly #suspicionMs: number;

  readonly #deadAtMs = new Map<HostId, number>();

  /**
   * @param suspicionMs - how long a member can object
   */
  constructor(suspicionMs: number) {
    this.#suspicionMs = suspicionMs;
  }

  /**
   * @param member - a member whose state changed
   * @param nowMs - the time of the step
   */
  update({ hostId, state }: MemberRecord, nowMs: number): void {
    if (state === 'suspect') {
      this.#deadAtMs.set(hostId, nowMs + this.#suspicionMs);
    } else {
      this.#deadAtMs.delete(hostId);
    }
  }

  /**
   * @param nowMs - the time of the step
   * @returns members that did not object in time
   */
  getExpired(nowMs: number): HostId[] {
    return [...this.#deadAtMs]
      .filter(([, deadAtMs]) => nowMs >= deadAtMs)
      .map(([hostId]) => hostId);
  }

  /**
   * @returns when the next suspicion ends; Infinity for none
   */
  getNextWakeMs(): number {
    return Math.min(Infinity, ...this.#deadAtMs.values());
  }
}
