import { deepEqual, equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { DutyTestHost } from '../../test/support/DutyTestHost.ts';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import { FakeKeyValueStore } from '../../test/support/FakeKeyValueStore.ts';
import { DEFAULT_LEASE_OPTIONS } from '../leases/LeaseOptions.ts';
import { toId, type UpstreamId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import { DutyAssignment, type DutyMembership } from './DutyAssignment.ts';

const { ttlMs } = DEFAULT_LEASE_OPTIONS;
const STEP_MS = 50;
const UPSTREAM_COUNT = 60;
const UPSTREAMS = Array.from({ length: UPSTREAM_COUNT }, (_, index) => ({
  id: `upstream-${index}`, failureDomainId: 'domain-a',
}));

/** A membership whose members the test sets. */
class FakeMembership implements DutyMembership {
  readonly context = new FakeCoreContext('host-0');

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

  isViewFresh(): boolean {
    return this.isFresh;
  }
}

function createDuties(names: readonly string[]): {
  membership: FakeMembership; duties: DutyAssignment;
} {
  const membership = new FakeMembership();
  membership.setHosts(names);
  const duties = new DutyAssignment(membership.context, membership);
  duties.setUpstreams(UPSTREAMS);
  return { membership, duties };
}

function getGrantCoordinators(duties: DutyAssignment): (string | undefined)[] {
  return UPSTREAMS.map(({ id }) => duties.getGrantCoordinator(toId<UpstreamId>(id))?.hostId);
}

function getNames(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `host-${index}`);
}

/** Who has each duty: the steward's of the one failure domain, and the claim shards'. */
function getAssignedHosts(duties: DutyAssignment): (string | null)[] {
  return [getGrantCoordinators(duties)[0] ?? null, ...duties.getClaimOwners()];
}

describe('DutyAssignment', () => {
  it('moves the duties of a host that goes, and no others', () => {
    const counts = fc.tuple(fc.integer({ min: 2, max: 40 }), fc.nat());
    fc.assert(fc.property(counts, ([count, pick]) => {
      const names = getNames(count);
      const { membership, duties } = createDuties(names);
      const before = getAssignedHosts(duties);
      const gone = names[1 + (pick % (count - 1))];
      membership.setHosts(names.filter((name) => name !== gone));
      duties.updateMembers();
      const after = getAssignedHosts(duties);
      const moved = before.filter((hostId, index) => hostId !== after[index]);
      ok(moved.every((hostId) => hostId === gone));
      equal(duties.movedCount, before.filter((hostId) => hostId === gone).length);
    }), { seed: 5, numRuns: 100 });
  });

  it('moves duties to a host that joins only', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 40 }), (count) => {
      const { membership, duties } = createDuties(getNames(count));
      const before = getAssignedHosts(duties);
      membership.setHosts([...getNames(count), 'joiner']);
      duties.updateMembers();
      ok(getAssignedHosts(duties).every((hostId, index) => (
        hostId === before[index] || hostId === 'joiner')));
    }), { seed: 5, numRuns: 100 });
  });

  it('gives a leaving host no duties', () => {
    const { membership, duties } = createDuties(getNames(3));
    membership.setHosts(getNames(3), 'leaving');
    duties.updateMembers();
    deepEqual([...new Set(getGrantCoordinators(duties))], ['host-0']);
    deepEqual([...new Set(duties.getClaimOwners())], ['host-0']);
  });

  it('names one steward for all upstreams of a failure domain, and another when that goes', () => {
    const names = getNames(5);
    const { membership, duties } = createDuties(names);
    const [first, ...others] = [...new Set(getGrantCoordinators(duties))];
    deepEqual(others, []);
    membership.setHosts(names.filter((name) => name !== first));
    duties.updateMembers();
    const [second] = [...new Set(getGrantCoordinators(duties))];
    ok(second !== undefined && second !== first);
  });

  const LEASE_CASES: [string, number, boolean, boolean, boolean][] = [
    ['holds a duty while it has the lease', 0, true, true, true],
    ['loses its duties a lease after the platform was last reached', ttlMs, true, true, false],
    ['acts on no duty with a stale view', 0, true, false, false],
    ['holds no duty that another host is placed on', 0, false, true, false],
  ];
  LEASE_CASES.forEach(([name, silenceMs, isChosen, isFresh, isHeld]) => {
    it(name, () => {
      const membership = new FakeMembership();
      membership.setHosts(isChosen ? ['host-0'] : ['host-1']);
      membership.isFresh = isFresh;
      const { clock } = membership.context;
      const host = new DutyTestHost('host-0', membership, new FakeKeyValueStore(), clock);
      host.duties.setUpstreams(UPSTREAMS);
      for (let elapsedMs = 0; elapsedMs < ttlMs; elapsedMs += STEP_MS) {
        host.step();
        clock.advance(STEP_MS);
      }
      clock.advance(silenceMs);
      equal(host.duties.getOwnDuty(toId('upstream-0')) !== null, isHeld);
    });
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
