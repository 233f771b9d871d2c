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
  it('sees every host alive when nothing fails', () => {
    const bed = createBed();
    bed.run(20_000);
    bed.members.forEach(({ membership }) => equal(membership.getAliveHostIds().length, 8));
    equal(bed.members.flatMap(({ events }) => events)
      .some((event) => event.kind === 'memberChanged' && event.member.state !== 'alive'), false);
  });

  it('detects a dead host in every failure domain', () => {
    const bed = createBed();
    bed.run(3000);
    at(bed, 3).isRunning = false;
    bed.run(10_000);
    deepEqual(getStates(bed, at(bed, 3)), ['dead']);
  });

  it('learns of a leaving host by its announcement, without suspecting it', () => {
    const bed = createBed();
    bed.run(3000);
    at(bed, 3).membership.announceLeaving();
    bed.run(3000);
    deepEqual(getStates(bed, at(bed, 3)), ['leaving']);
    equal(at(bed, 0).membership.getAliveHostIds().includes(at(bed, 3).hostId), false);
  });

  it('ends a suspicion when the host refutes it', () => {
    const bed = createBed();
    bed.run(3000);
    at(bed, 0).membership.handleUnreachable(at(bed, 2).hostId);
    equal(getState(at(bed, 0), at(bed, 2)), 'suspect');
    bed.run(6000);
    deepEqual(getStates(bed, at(bed, 2)), ['alive']);
  });

  it('never replaces a process start by an earlier one', () => {
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

  it('ignores a heartbeat whose process start differs from that of its connection', () => {
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

  it('has a stale view after a pause until a peer answers, and refutes its death', () => {
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

  it('merges the views after a network partition between failure domains', () => {
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

  it('sends no more messages per host as the fleet grows', () => {
    const perHost = [24, 96].map((hostCount) => {
      const bed = createBed(hostCount, 2);
      bed.run(20_000);
      return bed.messageCount / hostCount;
    }) as [number, number];
    ok(perHost[1] <= perHost[0] * 1.05, `messages per host: ${perHost[0]} and ${perHost[1]}`);
  });

  it('reports a newer configuration at another host', () => {
    const bed = createBed();
    bed.run(3000);
    at(bed, 0).membership.setConfigurationVersion(5);
    bed.run(50);
    ok(bed.members.some(({ events }) => events.some(({ kind }) => (
      kind === 'newerConfigurationSeen'))));
  });

  it('learns the configuration version in force at every host', () => {
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

  it('informs a process that a later start has its host id', () => {
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
