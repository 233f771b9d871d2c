import type { HostId } from '../lib/ids.ts';
import type { MembershipOptions } from './MembershipOptions.ts';

/** A heartbeat whose time is over. */
export interface OverdueHeartbeat {
  readonly hostId: HostId;
  /** Heartbeats in a row that were not answered, with this one. */
  readonly missedCount: number;
}

interface SentHeartbeat {
  readonly sentAtMs: number;
  readonly missedCount: number;
}

/** The heartbeats that their members have not answered yet. */
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
   * @param hostId - a member that gets a heartbeat
   * @param nowMs - the time of the step
   * @param missedCount - earlier ones in a row that were not answered
   */
  add(hostId: HostId, nowMs: number, missedCount: number): void {
    if (!this.#sent.has(hostId)) {
      this.#sent.set(hostId, { sentAtMs: nowMs, missedCount });
    }
  }

  /**
   * @param hostId - a member that was heard
   */
  remove(hostId: HostId): void {
    this.#sent.delete(hostId);
  }

  /** Forgets all heartbeats. */
  clear(): void {
    this.#sent.clear();
  }

  /**
   * @param nowMs - the time of the step
   * @returns the heartbeats whose time is over; they are forgotten
   */
  takeOverdue(nowMs: number): OverdueHeartbeat[] {
    const overdue = [...this.#sent]
      .filter(([, { sentAtMs }]) => nowMs - sentAtMs >= this.#options.answerTimeoutMs)
      .map(([hostId, { missedCount }]) => ({ hostId, missedCount: missedCount + 1 }));
    overdue.forEach(({ hostId }) => this.#sent.delete(hostId));
    return overdue;
  }

  /**
   * @returns when the next heartbeat is overdue; Infinity for none
   */
  getNextWakeMs(): number {
    const sentAtMs = [...this.#sent.values()].map((heartbeat) => heartbeat.sentAtMs);
    return Math.min(Infinity, ...sentAtMs) + this.#options.answerTimeoutMs;
  }
}
