import type { SelfIdentity } from '../core/CoreContext.ts';
import type { FailureDomainId, HostId } from '../lib/ids.ts';
import type { RandomSource } from '../lib/RandomSource.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import { getHighestScored } from './getHighestScored.ts';
import type { MemberTable } from './MemberTable.ts';
import { shuffle } from './shuffle.ts';

/** Chooses whom a heartbeat goes to. The number per round does not grow with the fleet. */
export class HeartbeatTargets {
  readonly #self: SelfIdentity;

  readonly #random: RandomSource;

  readonly #table: MemberTable;

  /** Members of the own domain still to come in this pass, in random order. */
  #roundRobinQueue: HostId[] = [];

  #linkTurnCount = 0;

  #deadTurnCount = 0;

  /**
   * @param self - the own host
   * @param random - for the order of a pass
   * @param table - the members
   */
  constructor(self: SelfIdentity, random: RandomSource, table: MemberTable) {
    this.#self = self;
    this.#random = random;
    this.#table = table;
  }

  /**
   * Takes the next members of the own domain; each one comes once in a pass.
   *
   * @param count - how many
   * @returns different members, fewer when the domain is smaller
   */
  takeOwnDomain(count: number): MemberRecord[] {
    const taken = new Map<HostId, MemberRecord>();
    const present = this.#table.getPresent(this.#self.failureDomainId);
    const wanted = Math.min(count, present.length);
    while (taken.size < wanted) {
      if (this.#roundRobinQueue.length === 0) {
        this.#roundRobinQueue = shuffle(present.map(({ hostId }) => hostId), this.#random);
      }
      const record = this.#table.get(this.#roundRobinQueue.pop() as HostId)?.record;
      if (record !== undefined && record.state !== 'dead') {
        taken.set(record.hostId, record);
      }
    }
    return [...taken.values()];
  }

  /**
   * @param linksPerDomain - hosts of each domain that hold links to each other domain
   * @returns the members in other domains that this host holds links to; empty for most hosts
   */
  getLinks(linksPerDomain: number): MemberRecord[] {
    const ownDomainId = this.#self.failureDomainId;
    const byDomain = new Map<FailureDomainId, HostId[]>([[ownDomainId, [this.#self.hostId]]]);
    this.#table.getPresent().forEach(({ hostId, failureDomainId }) => {
      byDomain.set(failureDomainId, [...byDomain.get(failureDomainId) ?? [], hostId]);
    });
    const ownHostIds = byDomain.get(ownDomainId) ?? [];
    return [...byDomain].flatMap(([domainId, hostIds]) => {
      const key = `link ${ownDomainId} ${domainId}`;
      const isHolder = getHighestScored(key, ownHostIds, linksPerDomain)
        .includes(this.#self.hostId);
      return domainId === ownDomainId || !isHolder
        ? []
        : getHighestScored(key, hostIds, linksPerDomain)
          .flatMap((hostId) => this.#table.get(hostId)?.record ?? []);
    });
  }

  /**
   * @param linksPerDomain - hosts of each domain that hold links to each other domain
   * @returns the next of the own links by turns
   */
  takeNextLink(linksPerDomain: number): MemberRecord[] {
    const links = this.getLinks(linksPerDomain);
    this.#linkTurnCount += 1;
    return links.length === 0 ? [] : links.slice(this.#linkTurnCount % links.length).slice(0, 1);
  }

  /**
   * @returns the next dead member by turns, since it may be one behind a mended partition
   */
  takeNextDead(): MemberRecord[] {
    const dead = this.#table.getAll().filter(({ record }) => record.state === 'dead');
    this.#deadTurnCount += 1;
    return dead.length === 0
      ? []
      : dead.slice(this.#deadTurnCount % dead.length).slice(0, 1).map(({ record }) => record);
  }
}
