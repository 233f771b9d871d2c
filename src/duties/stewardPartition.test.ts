import { deepEqual } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import { toId, type HostId, type UpstreamId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { DutyAssignment } from './DutyAssignment.ts';
import { DEFAULT_DUTY_OPTIONS } from './DutyOptions.ts';

const DOMAIN_ID = 'domain-a';
const UPSTREAMS = Array.from({ length: 60 }, (_, index) => ({
  id: `upstream-${index}`, failureDomainId: DOMAIN_ID,
}));

function createMember(hostId: string, state: MemberRecord['state']): MemberRecord {
  return {
    hostId: toId(hostId),
    incarnationId: toId(`${hostId}-1`),
    failureDomainId: toId(DOMAIN_ID),
    peerAddress: hostId,
    state,
    generation: 1,
    configurationVersion: 1,
  };
}

/** The duties of a host that hears `entry-c` and takes `deadId` for dead. */
function createDuties(hostId: string, deadId: string, clock: ManualClock): DutyAssignment {
  const context = new FakeCoreContext(hostId, clock);
  const members = [
    createMember(hostId, 'alive'), createMember('entry-c', 'alive'), createMember(deadId, 'dead'),
  ];
  const duties = new DutyAssignment(context, {
    getMembers: () => members,
    getHeardAtMs: (other: HostId) => (other === deadId ? null : clock.getMonotonicMs()),
    hasLeft: () => false,
    isViewFresh: () => true,
  });
  duties.setUpstreams(UPSTREAMS);
  // Duties are placed when they are first asked for.
  UPSTREAMS.forEach(({ id }) => duties.getSteward(toId<UpstreamId>(id)));
  return duties;
}

describe('stewards in a partition', () => {
  it('has one steward for each upstream when two hosts hear a third one and not each other', () => {
    const clock = new ManualClock();
    const first = createDuties('entry-a', 'entry-b', clock);
    const second = createDuties('entry-b', 'entry-a', clock);
    clock.advance(2 * DEFAULT_DUTY_OPTIONS.leaseMs);
    const nowMs = clock.getMonotonicMs();
    const holds = (duties: DutyAssignment, id: UpstreamId): boolean => {
      const duty = duties.getOwnDuty(id);
      return duty !== null && duty.sinceMs <= nowMs && nowMs < duty.untilMs;
    };
    const doubled = UPSTREAMS.map(({ id }) => toId<UpstreamId>(id))
      .filter((id) => holds(first, id) && holds(second, id));
    deepEqual(doubled, []);
  });
});
