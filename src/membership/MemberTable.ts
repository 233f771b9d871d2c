import type { FailureDomainId, HostId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import { getMergedRecord } from './getMergedRecord.ts';
import type { MemberEntry } from './MemberEntry.ts';

/** Records of the other members, without this host. */
export class MemberTable {
  readonly #entries = new Map<HostId, MemberEntry>();

  #version = 0;

  /** Version of the table, which grows with each merged or removed record. */
  get version(): number {
    return this.#version;
  }

  /** Number of members in any state. */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Returns the entry of a member.
   *
   * @param hostId - the member
   * @returns the entry, or undefined for an unknown member
   */
  get(hostId: HostId): MemberEntry | undefined {
    return this.#entries.get(hostId);
  }

  /**
   * Returns the entries of all members.
   *
   * @returns the entries, in the order in which the members became known
   */
  getAll(): MemberEntry[] {
    return [...this.#entries.values()];
  }

  /**
   * Returns the members that are not known to be dead.
   *
   * @param failureDomainId - a failure domain; undefined for all
   * @returns the records of these members
   */
  getPresent(failureDomainId?: FailureDomainId): MemberRecord[] {
    return this.getAll()
      .map(({ record }) => record)
      .filter((record) => record.state !== 'dead'
        && (failureDomainId === undefined || record.failureDomainId === failureDomainId));
  }

  /**
   * Merges a received record into the table.
   *
   * @param received - the record
   * @param nowMs - monotonic time
   * @returns whether the member's state or generation changed, so that peers have to be informed
   */
  merge(received: MemberRecord, nowMs: number): boolean {
    const entry = this.#entries.get(received.hostId);
    if (entry === undefined) {
      if (received.state === 'dead') {
        // This host has removed the member; adding it again would spread its record forever.
        return false;
      }
      this.#version += 1;
      this.#entries.set(received.hostId, { record: received, stateSinceMs: nowMs });
      return true;
    }
    const record = getMergedRecord(entry.record, received);
    if (record === entry.record) {
      return false;
    }
    const isSameState = record.state === entry.record.state
      && record.generation === entry.record.generation;
    const stateSinceMs = isSameState ? entry.stateSinceMs : nowMs;
    this.#version += 1;
    const isSameStart = record.incarnationId === entry.record.incarnationId;
    this.#entries.set(received.hostId, { record, stateSinceMs });
    // Peers that have the host list need no update when a host of the list is first reached.
    const isHintConfirmed = entry.record.generation === 0 && isSameStart
      && entry.record.state === record.state;
    return !isSameState && !isHintConfirmed;
  }

  /**
   * Raises the configuration version of a member.
   *
   * @param hostId - the member
   * @param version - configuration version in force at the member
   * @returns whether it is higher than the known version
   */
  raiseVersion(hostId: HostId, version: number): boolean {
    const entry = this.#entries.get(hostId);
    if (entry === undefined || version <= entry.record.configurationVersion) {
      return false;
    }
    const record = { ...entry.record, configurationVersion: version };
    this.#entries.set(hostId, { ...entry, record });
    return true;
  }

  /**
   * Removes members that have been dead for long.
   *
   * @param sinceMs - latest time of death of the members to remove
   * @returns the removed members
   */
  removeDead(sinceMs: number): HostId[] {
    const hostIds = this.getAll()
      .filter(({ record, stateSinceMs }) => record.state === 'dead' && stateSinceMs <= sinceMs)
      .map(({ record }) => record.hostId);
    hostIds.forEach((hostId) => this.#entries.delete(hostId));
    this.#version += hostIds.length;
    return hostIds;
  }
}
