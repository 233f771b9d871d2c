import type { HostId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import { RetransmissionCounts } from './RetransmissionCounts.ts';
import type { MembershipOptions } from './MembershipOptions.ts';
import type { MemberTable } from './MemberTable.ts';

/** Selects the member records that a heartbeat carries; their number is bounded. */
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
   * Queues the update of a member.
   *
   * @param hostId - a member that changed
   */
  add(hostId: HostId): void {
    const rounds = Math.log(this.#table.size + 2);
    this.#changes.add(hostId, Math.ceil(this.#options.retransmitFactor * rounds));
  }

  /**
   * Removes the update of a member.
   *
   * @param hostId - a member that was removed from the table
   */
  remove(hostId: HostId): void {
    this.#changes.remove(hostId);
  }

  /**
   * Selects a suspicion or death of the receiver, which it must refute, the changes that were sent
   * the fewest times and, as far as they fit, members on which the receiver's view differs.
   *
   * @param receiver - receiver of the message
   * @param different - members whose records may differ at the receiver, in random order
   * @returns the records to include
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
