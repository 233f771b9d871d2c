import type { HostId } from '../lib/ids.ts';
import type { MembershipOptions } from './MembershipOptions.ts';

/** Heartbeat that was not answered in time. */
export interface OverdueHeartbeat {
  readonly hostId: HostId;
  /** Consecutive heartbeats that were not answered, including this one. */
  readonly missedCount: number;
}

interface SentHeartbeat {
  readonly sentAtMs: number;
  readonly missedCount: number;
}

/** Heartbeats that were sent to members and are waiting for their answers. */
export class PendingHeartbeatTable {
  readonly #options: MembershipOptions;

  readonly #sent = new Map<HostId, SentHeartbeat>();

  /**
   * @param options - see `DEFAULT_MEMBERSHIP_OPTIONS`
   */
  constructor(options: MembershipOptions) {
    this.#options = options;
  }

  /**
   * Adds a heartbeat, unless one to the same member is pending.
   *
   * @param hostId - the member that the heartbeat is sent to
   * @param nowMs - monotonic time
   * @param missedCount - consecutive earlier heartbeats that were not answered
   */
  add(hostId: HostId, nowMs: number, missedCount: number): void {
    if (!this.#sent.has(hostId)) {
      this.#sent.set(hostId, { sentAtMs: nowMs, missedCount });
    }
  }

  /**
   * Removes the heartbeat to a member.
   *
   * @param hostId - a member that has sent a message
   */
  remove(hostId: HostId): void {
    this.#sent.delete(hostId);
  }

  /** Removes all heartbeats. */
  clear(): void {
    this.#sent.clear();
  }

  /**
   * Removes the overdue heartbeats.
   *
   * @param nowMs - monotonic time
   * @returns the removed heartbeats
   */
  takeOverdue(nowMs: number): OverdueHeartbeat[] {
    const overdue = [...this.#sent]
      .filter(([, { sentAtMs }]) => nowMs - sentAtMs >= this.#options.answerTimeoutMs)
      .map(([hostId, { missedCount }]) => ({ hostId, missedCount: missedCount + 1 }));
    overdue.forEach(({ hostId }) => this.#sent.delete(hostId));
    return overdue;
  }

  /**
   * Returns when the next heartbeat becomes overdue.
   *
   * @returns monotonic time; Infinity when none is pending
   */
  getNextWakeMs(): number {
    const sentAtMs = [...this.#sent.values()].map((heartbeat) => heartbeat.sentAtMs);
    return Math.min(Infinity, ...sentAtMs) + this.#options.answerTimeoutMs;
  }
}
