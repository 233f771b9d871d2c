import { deepEqual, equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import { toId, type HostId, type UpstreamId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import { DutyAssignment, type DutyMembership } from './DutyAssignment.ts';

const LEASE_MS = 5000;
const UPSTREAM_COUNT = 60;
const UPSTREAMS = Array.from({ length: UPSTREAM_COUNT }, (_, index) => ({
  id: `upstream-${index}`, failureDomainId: 'domain-a',
}));

/** A membership whose members the test sets. */
class FakeMembership implements DutyMembership {
  readonly context = new FakeCoreContext('host-0');

  readonly heardAtMs = new Map<string, number>();

  isFresh = true;

  #members: MemberRecord[] = [];

  setHosts(names: readonly string[], state: MemberRecord['state'] = 'alive'): void {
    this.#members = names.map((name) => ({
      hostId: toId(name),
      incarnationId: toId(name),
      failureDomainId: toId('domain-a'),
      peerAddress: name,
      state: name === 'host-0' ? 'alive' : state,
      generation: 1,
      configurationVersion: 0,
    }));
  }

  getMembers(): MemberRecord[] {
    return this.#members;
  }

  getHeardAtMs(hostId: HostId): number | null {
    return this.heardAtMs.get(hostId) ?? null;
  }

  hasLeft(hostId: HostId): boolean {
    return this.#members.some((member) => member.hostId === hostId && member.state === 'leaving');
  }

  isViewFresh(): boolean {
    return this.isFresh;
  }
}

function createDuties(names: readonly string[]): {
  membership: FakeMembership; duties: DutyAssignment;
} {
  const membership = new FakeMembership();
  membership.setHosts(names);
  const duties = new DutyAssignment(membership.context, membership, { leaseMs: LEASE_MS });
  duties.setUpstreams(UPSTREAMS);
  return { membership, duties };
}

function getStewards(duties: DutyAssignment): (string | undefined)[] {
  return UPSTREAMS.map(({ id }) => duties.getSteward(toId<UpstreamId>(id))?.hostId);
}

function getNames(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `host-${index}`);
}

describe('DutyAssignment', () => {
  it('moves the duties of a host that goes, and no others', () => {
    const counts = fc.tuple(fc.integer({ min: 2, max: 40 }), fc.nat());
    fc.assert(fc.property(counts, ([count, pick]) => {
      const names = getNames(count);
      const { membership, duties } = createDuties(names);
      const before = getStewards(duties);
      const gone = names[1 + (pick % (count - 1))];
      membership.setHosts(names.filter((name) => name !== gone));
      duties.noteMembersChanged();
      const after = getStewards(duties);
      const moved = before.filter((hostId, index) => hostId !== after[index]);
      ok(moved.every((hostId) => hostId === gone));
      equal(duties.movedCount, before.filter((hostId) => hostId === gone).length);
    }), { seed: 5, numRuns: 100 });
  });

  it('moves duties to a host that joins only', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 40 }), (count) => {
      const { membership, duties } = createDuties(getNames(count));
      const before = getStewards(duties);
      membership.setHosts([...getNames(count), 'joiner']);
      duties.noteMembersChanged();
      ok(getStewards(duties).every((hostId, index) => (
        hostId === before[index] || hostId === 'joiner')));
    }), { seed: 5, numRuns: 100 });
  });

  it('gives a leaving host no duties', () => {
    const { membership, duties } = createDuties(getNames(3));
    membership.setHosts(getNames(3), 'leaving');
    duties.noteMembersChanged();
    deepEqual([...new Set(getStewards(duties))], ['host-0']);
    deepEqual([...new Set(duties.getClaimOwners())], ['host-0']);
  });

  const leases: [string, number, boolean, boolean][] = [
    ['holds a duty while a majority is heard', 0, true, true],
    ['loses its duties a lease after a majority was heard', LEASE_MS, true, false],
    ['acts on no duty with a stale view', 0, false, false],
  ];
  leases.forEach(([name, silenceMs, isFresh, isHeld]) => {
    it(name, () => {
      const { membership, duties } = createDuties(getNames(3));
      const own = toId<UpstreamId>(`upstream-${getStewards(duties).indexOf('host-0')}`);
      membership.heardAtMs.set('host-1', membership.context.getNowMs());
      membership.isFresh = isFresh;
      membership.context.clock.advance(silenceMs);
      equal(duties.getOwnDuty(own) !== null, isHeld);
    });
  });

  it('begins a duty only after the lease of the former holder', () => {
    const { membership, duties } = createDuties(getNames(3));
    const moved = getStewards(duties).indexOf('host-1');
    membership.context.clock.advance(1000);
    membership.setHosts(['host-0']);
    duties.noteMembersChanged();
    const duty = duties.getOwnDuty(toId<UpstreamId>(`upstream-${moved}`));
    ok((duty?.sinceMs ?? 0) >= membership.context.getNowMs() + LEASE_MS);
  });

  it('names a few configuration watchers per domain', () => {
    const names = getNames(20);
    const watchers = names.filter((name) => {
      const membership = new FakeMembership();
      membership.setHosts([name, ...names.filter((other) => other !== name)]);
      Object.assign(membership.context.self, { hostId: name });
      return new DutyAssignment(membership.context, membership).isConfigurationWatcher();
    });
    equal(watchers.length, 2);
  });
});
