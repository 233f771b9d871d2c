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

  #messageCount = 0;

  #fillerTurn = 0;

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
    const rounds = Math.log2(this.#table.size + 2);
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
   * then now and then a member by turns.
   *
   * @param receiver - whom the message goes to
   * @returns the records to carry
   */
  select(receiver: MemberRecord): MemberRecord[] {
    const hostIds = new Set(this.#takeChanges());
    const state = this.#table.get(receiver.hostId)?.record.state;
    if (state === 'suspect' || state === 'dead') {
      hostIds.add(receiver.hostId);
    }
    this.#messageCount += 1;
    if (this.#messageCount % this.#options.fillerEveryMessages === 0) {
      this.#takeFiller().forEach((hostId) => hostIds.add(hostId));
    }
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

  #takeFiller(): HostId[] {
    const all = this.#table.getAll();
    this.#fillerTurn = all.length === 0 ? 0 : (this.#fillerTurn + 1) % all.length;
    return all.slice(this.#fillerTurn, this.#fillerTurn + 1).map(({ record }) => record.hostId);
  }
}
