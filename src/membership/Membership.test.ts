import { deepEqual, equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MembershipTestBed, type TestMember } from '../../test/support/MembershipTestBed.ts';

function createBed(hostCount = 8, domainCount = 2, lossFraction = 0): MembershipTestBed {
  return new MembershipTestBed({
    hostCount, domainCount, lossFraction, seed: 7,
  });
}

function at(bed: MembershipTestBed, index: number): TestMember {
  return bed.members[index] as TestMember;
}

function getState(observer: TestMember, subject: TestMember): string | undefined {
  return observer.membership.getMembers()
    .find(({ hostId }) => hostId === subject.hostId)?.state;
}

function getStates(bed: MembershipTestBed, subject: TestMember): (string | undefined)[] {
  const states = bed.members.filter((member) => member !== subject && member.isRunning)
    .map((member) => getState(member, subject));
  return [...new Set(states)];
}

describe('Membership', () => {
  it('knows every host alive when nothing fails', () => {
    const bed = createBed();
    bed.run(20_000);
    bed.members.forEach(({ membership }) => equal(membership.getAliveHostIds().length, 8));
    equal(bed.members.flatMap(({ events }) => events)
      .some((event) => event.kind === 'memberChanged' && event.member.state !== 'alive'), false);
  });

  it('learns in every failure domain that a host died', () => {
    const bed = createBed();
    bed.run(3000);
    at(bed, 3).isRunning = false;
    bed.run(10_000);
    deepEqual(getStates(bed, at(bed, 3)), ['dead']);
  });

  it('learns by being told that a host leaves, and never suspects it meanwhile', () => {
    const bed = createBed();
    bed.run(3000);
    at(bed, 3).membership.announceLeaving();
    bed.run(3000);
    deepEqual(getStates(bed, at(bed, 3)), ['leaving']);
    equal(at(bed, 0).membership.getAliveHostIds().includes(at(bed, 3).hostId), false);
  });

  it('takes a suspicion back when the host objects', () => {
    const bed = createBed();
    bed.run(3000);
    at(bed, 0).membership.handleUnreachable(at(bed, 2).hostId);
    equal(getState(at(bed, 0), at(bed, 2)), 'suspect');
    bed.run(6000);
    deepEqual(getStates(bed, at(bed, 2)), ['alive']);
  });

  it('never takes an earlier start for the present one', () => {
    const bed = createBed();
    bed.run(3000);
    const old = at(bed, 3);
    const oldHeartbeat = old.membership.getSelf();
    old.isRunning = false;
    bed.members[3] = bed.create(3, 2);
    at(bed, 3).membership.handleHostList(bed.hostList);
    bed.run(5000);
    at(bed, 0).membership.handleHeartbeat(oldHeartbeat.incarnationId, {
      kind: 'heartbeat',
      sequence: 99,
      self: oldHeartbeat,
      members: [],
      configurationVersion: 0,
      versions: {},
      viewDigest: [],
    });
    const known = at(bed, 0).membership.getMembers().find(({ hostId }) => hostId === old.hostId);
    equal(known?.incarnationId, 'host-3-start-2');
  });

  it('ignores a heartbeat that names another start than its connection', () => {
    const bed = createBed();
    bed.run(3000);
    const self = { ...at(bed, 1).membership.getSelf(), state: 'dead' as const, generation: 1e15 };
    at(bed, 0).membership.handleHeartbeat(at(bed, 2).context.self.incarnationId, {
      kind: 'heartbeat',
      sequence: 1,
      self,
      members: [],
      configurationVersion: 0,
      versions: {},
      viewDigest: [],
    });
    equal(getState(at(bed, 0), at(bed, 1)), 'alive');
  });

  it('is not fresh after a pause until it has heard of its peers, and outbids its death', () => {
    const bed = createBed();
    bed.run(3000);
    const paused = at(bed, 2);
    paused.isRunning = false;
    bed.run(20_000);
    deepEqual(getStates(bed, paused), ['dead']);
    equal(paused.membership.isViewFresh(), false);
    paused.isRunning = true;
    paused.membership.tick();
    equal(paused.membership.isViewFresh(), false);
    bed.run(10_000);
    equal(paused.membership.isViewFresh(), true);
    deepEqual(getStates(bed, paused), ['alive']);
  });

  it('merges the views after a failure domain was cut off', () => {
    const bed = createBed(8, 2);
    bed.run(3000);
    bed.isLinked = (from, to) => (
      from.context.self.failureDomainId === to.context.self.failureDomainId);
    bed.run(30_000);
    equal(at(bed, 0).membership.getAliveHostIds().length, 4);
    bed.isLinked = null;
    bed.run(60_000);
    bed.members.forEach(({ membership }) => equal(membership.getAliveHostIds().length, 8));
  });

  it('sends a number of messages per host that does not grow with the fleet', () => {
    const perHost = [24, 96].map((hostCount) => {
      const bed = createBed(hostCount, 2);
      bed.run(20_000);
      return bed.messageCount / hostCount;
    }) as [number, number];
    ok(perHost[1] <= perHost[0] * 1.05, `${perHost[0]} against ${perHost[1]}`);
  });

  it('reports a configuration that is newer elsewhere', () => {
    const bed = createBed();
    bed.run(3000);
    at(bed, 0).membership.setConfigurationVersion(5);
    bed.run(50);
    ok(bed.members.some(({ events }) => events.some(({ kind }) => (
      kind === 'newerConfigurationSeen'))));
  });

  it('learns which configuration is in force at every host', () => {
    const bed = createBed();
    bed.run(3000);
    bed.members.forEach(({ membership }) => membership.setConfigurationVersion(5));
    bed.run(10_000);
    bed.members.forEach(({ membership }) => {
      deepEqual(membership.getMembers().map((member) => member.configurationVersion), [
        5, 5, 5, 5, 5, 5, 5, 5,
      ]);
    });
  });

  it('tells a process that a later start has its name', () => {
    const bed = createBed();
    bed.run(90_000);
    const self = { ...at(bed, 3).membership.getSelf(), generation: 1e15 };
    const successor = { ...self, incarnationId: at(bed, 4).context.self.incarnationId };
    at(bed, 3).membership.handleHeartbeat(at(bed, 0).context.self.incarnationId, {
      kind: 'heartbeat',
      sequence: 1,
      self: at(bed, 0).membership.getSelf(),
      members: [successor],
      configurationVersion: 0,
      versions: {},
      viewDigest: [],
    });
    bed.run(50);
    ok(at(bed, 3).events.some(({ kind }) => kind === 'selfReplaced'));
  });
});
