import type { HostId } from '../lib/ids.ts';
import { RetransmissionCounts } from './RetransmissionCounts.ts';
import type { MembershipOptions } from './MembershipOptions.ts';
import type { MemberTable } from './MemberTable.ts';

/**
 * Spreads which configuration version is in force at which host, apart from the member records,
 * which are ten times as large: with thousands of changes a day all hosts report several times an
 * hour.
 */
export class VersionUpdateQueue {
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
   * @param hostId - a member that reported a higher version
   */
  add(hostId: HostId): void {
    this.#changes.add(hostId, Math.ceil(Math.log2(this.#table.size + 2)));
  }

  /**
   * @returns versions by host that were carried the fewest times so far
   */
  select(): Record<string, number> {
    const taken = this.#changes.take(this.#options.maxVersions);
    return Object.fromEntries(taken.map((hostId) => (
      [hostId, this.#table.get(hostId)?.record.configurationVersion ?? 0])));
  }

  /**
   * @param versions - versions by host, from a peer
   */
  receive(versions: Readonly<Record<string, number>>): void {
    Object.entries(versions).forEach(([name, version]) => {
      const hostId = name as HostId;
      if (this.#table.raiseVersion(hostId, version)) {
        this.add(hostId);
      }
    });
  }
}
