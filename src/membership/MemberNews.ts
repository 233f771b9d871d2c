import type { HostId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import type { MembershipOptions } from './MembershipOptions.ts';
import type { MemberTable } from './MemberTable.ts';

/** Chooses which members' records a heartbeat carries; the number has a bound. */
export class MemberNews {
  readonly #table: MemberTable;

  readonly #options: MembershipOptions;

  /** How often each change has still to be carried. */
  readonly #remaining = new Map<HostId, number>();

  /**
   * @param table - the members
   * @param options - see `DEFAULT_MEMBERSHIP_OPTIONS`
   */
  constructor(table: MemberTable, options: MembershipOptions) {
    this.#table = table;
    this.#options = options;
  }

  /**
   * @param hostId - a member that changed
   */
  add(hostId: HostId): void {
    const rounds = Math.log(this.#table.size + 2);
    this.#remaining.set(hostId, Math.ceil(this.#options.retransmitFactor * rounds));
  }

  /**
   * @param hostId - a member that is no longer known
   */
  remove(hostId: HostId): void {
    this.#remaining.delete(hostId);
  }

  /**
   * Selects what the receiver must object to, then changes that were carried the fewest times,
   * then, as far as there is room, members about which the receiver is known to differ.
   *
   * @param receiver - whom the message goes to
   * @param different - members that the receiver may see otherwise, in random order
   * @returns the records to carry
   */
  select(receiver: MemberRecord, different: readonly MemberRecord[] = []): MemberRecord[] {
    const hostIds = new Set(this.#takeChanges());
    const state = this.#table.get(receiver.hostId)?.record.state;
    if (state === 'suspect' || state === 'dead') {
      hostIds.add(receiver.hostId);
    }
    different.slice(0, Math.max(0, this.#options.maxPiggyback - hostIds.size))
      .forEach(({ hostId }) => hostIds.add(hostId));
    return [...hostIds].flatMap((hostId) => this.#table.get(hostId)?.record ?? []);
  }

  #takeChanges(): HostId[] {
    const taken = [...this.#remaining]
      .sort(([, a], [, b]) => b - a)
      .slice(0, this.#options.maxPiggyback);
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
