import type { FailureDomainId, HostId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import { getMergedRecord } from './getMergedRecord.ts';
import type { MemberEntry } from './MemberEntry.ts';

/** What is known of the other members; the own host is not in it. */
export class MemberTable {
  readonly #entries = new Map<HostId, MemberEntry>();

  #version = 0;

  /** Grows with each change of a record. */
  get version(): number {
    return this.#version;
  }

  /** Members in every state. */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * @param hostId - a member
   * @returns what is known of it
   */
  get(hostId: HostId): MemberEntry | undefined {
    return this.#entries.get(hostId);
  }

  /**
   * @returns all members, in the order in which they became known
   */
  getAll(): MemberEntry[] {
    return [...this.#entries.values()];
  }

  /**
   * @param failureDomainId - a failure domain; undefined for all
   * @returns members that can be reached as far as is known
   */
  getPresent(failureDomainId?: FailureDomainId): MemberRecord[] {
    return this.getAll()
      .map(({ record }) => record)
      .filter((record) => record.state !== 'dead'
        && (failureDomainId === undefined || record.failureDomainId === failureDomainId));
  }

  /**
   * Takes a statement about a member.
   *
   * @param received - the statement
   * @param nowMs - the time of the step
   * @returns whether that is news: the member's state or process start is another one
   */
  merge(received: MemberRecord, nowMs: number): boolean {
    const entry = this.#entries.get(received.hostId);
    if (entry === undefined) {
      if (received.state === 'dead') {
        // It was forgotten here; taking it again would keep it alive as news for ever.
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
    // That a host of the host list was reached is no news to those who have the list.
    const isHintConfirmed = entry.record.generation === 0 && isSameStart
      && entry.record.state === record.state;
    return !isSameState && !isHintConfirmed;
  }

  /**
   * @param hostId - a member
   * @param version - configuration version that is in force there
   * @returns whether it is higher than what was known
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
   * Forgets members that have been dead for long.
   *
   * @param sinceMs - those that died at this time or before
   * @returns who was forgotten
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
