import { deepEqual, equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { DutyTestHost } from '../../test/support/DutyTestHost.ts';
import { FakeKeyValueStore } from '../../test/support/FakeKeyValueStore.ts';
import { DEFAULT_LEASE_OPTIONS } from '../leases/LeaseOptions.ts';
import { toId, type UpstreamId } from '../lib/ids.ts';
import type { MemberRecord } from '../peers/PeerMessage.ts';
import { ManualClock } from '../time/ManualClock.ts';

const DOMAIN_ID = 'domain-a';
const UPSTREAMS = Array.from({ length: 60 }, (_, index) => ({
  id: `upstream-${index}`, failureDomainId: DOMAIN_ID,
}));
const STEP_MS = 50;
const LEASE_COUNT = 4;
const RUN_MS = LEASE_COUNT * (DEFAULT_LEASE_OPTIONS.ttlMs + DEFAULT_LEASE_OPTIONS.driftMarginMs);

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

/** Two hosts that both hear `entry-a`, take each other for dead, and reach the platform. */
class PartitionRig {
  readonly clock = new ManualClock();

  readonly hosts: readonly DutyTestHost[];

  /** Upstreams that had two stewards at the same moment. */
  readonly upstreamsWithTwoCoordinators = new Set<UpstreamId>();

  constructor() {
    const store = new FakeKeyValueStore();
    this.hosts = [['entry-b', 'entry-c'], ['entry-c', 'entry-b']].map(([own = '', dead = '']) => {
      const members = [
        createMember(own, 'alive'), createMember('entry-a', 'alive'), createMember(dead, 'dead'),
      ];
      const host = new DutyTestHost(own, {
        getMembers: () => members, isViewFresh: () => true,
      }, store, this.clock);
      host.duties.setUpstreams(UPSTREAMS);
      return host;
    });
  }

  run(durationMs: number): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
      this.hosts.forEach((host) => host.step());
      UPSTREAMS.map(({ id }) => toId<UpstreamId>(id))
        .filter((id) => this.getCoordinatorHosts(id).length > 1)
        .forEach((id) => this.upstreamsWithTwoCoordinators.add(id));
      this.clock.advance(STEP_MS);
    }
  }

  getCoordinatorHosts(id: UpstreamId): DutyTestHost[] {
    const nowMs = this.clock.getMonotonicMs();
    return this.hosts.filter(({ duties }) => {
      const duty = duties.getOwnDuty(id);
      return duty !== null && duty.sinceMs <= nowMs && nowMs < duty.untilMs;
    });
  }
}

describe('stewards in a partition', () => {
  it('has one steward for each upstream when two hosts hear a third one and not each other', () => {
    const rig = new PartitionRig();
    rig.run(RUN_MS);
    deepEqual([...rig.upstreamsWithTwoCoordinators], []);
    equal(rig.getCoordinatorHosts(toId('upstream-0')).length, 1);
  });

  it('passes the duty on under a higher epoch when its holder loses the platform', () => {
    const rig = new PartitionRig();
    rig.run(RUN_MS);
    const [holder] = rig.getCoordinatorHosts(toId('upstream-0'));
    ok(holder);
    const before = holder.duties.getOwnDuty(toId('upstream-0'));
    holder.isPlatformReachable = false;
    rig.run(RUN_MS);
    const [next] = rig.getCoordinatorHosts(toId('upstream-0'));
    deepEqual([...rig.upstreamsWithTwoCoordinators], []);
    ok(next !== undefined && next !== holder);
    ok((next.duties.getOwnDuty(toId('upstream-0'))?.epoch ?? 0) > (before?.epoch ?? 0));
  });
});
