import type { HostId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import { RetransmissionCounts } from './RetransmissionCounts.ts';
import type { MembershipOptions } from './MembershipOptions.ts';
import type { MemberTable } from './MemberTable.ts';

/** Chooses which members' records a heartbeat carries; the number has a bound. */
export class MemberUpdateQueue {
  readonly #table: MemberTable;

  readonly #options: MembershipOptions;

  readonly #changes = new RetransmissionCounts();

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
    this.#changes.add(hostId, Math.ceil(this.#options.retransmitFactor * rounds));
  }

  /**
   * @param hostId - a member that is no longer known
   */
  remove(hostId: HostId): void {
    this.#changes.remove(hostId);
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
    const hostIds = new Set(this.#changes.take(this.#options.maxPiggyback));
    const state = this.#table.get(receiver.hostId)?.record.state;
    if (state === 'suspect' || state === 'dead') {
      hostIds.add(receiver.hostId);
    }
    different.slice(0, Math.max(0, this.#options.maxPiggyback - hostIds.size))
      .forEach(({ hostId }) => hostIds.add(hostId));
    return [...hostIds].flatMap((hostId) => this.#table.get(hostId)?.record ?? []);
  }
}
