import {
  deepEqual, equal, match, ok,
} from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ConfigurationFleet, type FleetHost } from '../../test/support/ConfigurationFleet.ts';
import { createSampleConfiguration } from '../../test/support/createSampleConfiguration.ts';
import { toId, type HostId } from '../lib/ids.ts';
import { CONFIGURATION_HEAD_KEY } from './CONFIGURATION_HEAD_KEY.ts';

const PEER_ID = toId<HostId>('entry-b1');

function setHead(fleet: ConfigurationFleet, version: number, keyVersion = version): void {
  const value = JSON.stringify(createSampleConfiguration(version));
  fleet.store.entries.set(CONFIGURATION_HEAD_KEY, { version: keyVersion, value });
}

function getVersions(fleet: ConfigurationFleet): number[] {
  return fleet.hosts.map(({ follower }) => follower.getConfiguration().version);
}

interface StaleCase {
  readonly name: string;
  readonly offer: (fleet: ConfigurationFleet, host: FleetHost) => void;
}

const STALE_CASES: readonly StaleCase[] = [
  {
    name: 'a stale read',
    offer: (fleet, host) => {
      setHead(fleet, 4, 9);
      fleet.advance(70_000);
      equal(host.follower.isPlatformReachable(), true);
    },
  },
  {
    name: 'a store that was set back',
    offer: (fleet) => {
      setHead(fleet, 2, 1);
      fleet.advance(70_000);
    },
  },
  {
    name: 'a store that lost the head',
    offer: (fleet) => {
      fleet.store.entries.clear();
      fleet.advance(70_000);
    },
  },
  {
    name: 'an unreadable head',
    offer: (fleet) => {
      fleet.store.entries.set(CONFIGURATION_HEAD_KEY, { version: 9, value: '{"version":99}' });
      fleet.advance(70_000);
    },
  },
  {
    name: 'a stale peer',
    offer: (_fleet, { follower }) => follower.handlePeerMessage(
      PEER_ID,
      { kind: 'configuration', configuration: createSampleConfiguration(4) },
    ),
  },
  {
    name: 'a peer with the same version and another content',
    offer: (_fleet, { follower }) => follower.handlePeerMessage(
      PEER_ID,
      { kind: 'configuration', configuration: { ...createSampleConfiguration(5), pools: [] } },
    ),
  },
  {
    name: 'a peer with a malformed configuration',
    offer: (_fleet, { follower }) => follower.handlePeerMessage(
      PEER_ID,
      { kind: 'configuration', configuration: { version: 9 } as never },
    ),
  },
  {
    name: 'an outage',
    offer: (fleet) => {
      fleet.store.isDown = true;
      fleet.advance(70_000);
    },
  },
];

describe('ConfigurationFollower', () => {
  STALE_CASES.forEach(({ name, offer }) => {
    [true, false].forEach((isWatcher) => {
      it(`keeps what is in force through ${name}, ${isWatcher ? 'watching' : 'polling'}`, () => {
        const fleet = new ConfigurationFleet();
        const host = fleet.add('entry-a1');
        host.follower.setIsWatcher(isWatcher);
        setHead(fleet, 5);
        fleet.advance(1000);
        const before = host.follower.getConfiguration();
        equal(before.version, 5);
        offer(fleet, host);
        fleet.settle();
        deepEqual(host.follower.getConfiguration(), before);
        equal(host.follower.isReady(), true);
      });
    });
  });

  it('brings a change into force by one watch and notices to the other hosts', () => {
    const fleet = new ConfigurationFleet();
    setHead(fleet, 1);
    ['a1', 'a2', 'b1', 'b2', 'c1', 'c2', 'c3', 'c4'].forEach((id) => fleet.add(id));
    fleet.hosts[0]?.follower.setIsWatcher(true);
    fleet.advance(1000);
    fleet.sendHeartbeats();
    const { callCount } = fleet;
    setHead(fleet, 2);
    fleet.advance(200);
    deepEqual(getVersions(fleet), [2, 2, 2, 2, 2, 2, 2, 2]);
    ok(fleet.callCount - callCount <= 2);
    // Each of the other hosts is sent the whole configuration once.
    equal(fleet.sentConfigurationCount, 7);
  });

  it('learns by a heartbeat what a notice missed', () => {
    const fleet = new ConfigurationFleet();
    setHead(fleet, 1);
    const [first, second] = [fleet.add('a1'), fleet.add('b1')];
    first.follower.setIsWatcher(true);
    fleet.advance(1000);
    fleet.isolatedIds.add(second.hostId);
    setHead(fleet, 2);
    fleet.advance(1000);
    deepEqual(getVersions(fleet), [2, 1]);
    fleet.isolatedIds.clear();
    fleet.sendHeartbeats();
    deepEqual(getVersions(fleet), [2, 2]);
  });

  it('asks another peer when the first one does not answer', () => {
    const fleet = new ConfigurationFleet();
    fleet.store.isDown = true;
    const host = fleet.add('a1');
    const source = fleet.add('b1');
    source.follower.adoptIfNewer(createSampleConfiguration(3));
    host.follower.recordPeerVersion(PEER_ID, 'gone', 7);
    host.follower.recordPeerVersion(source.hostId, 'b1', 3);
    fleet.settle();
    equal(host.follower.getConfiguration().version, 0);
    match(host.follower.getNotReadyReason(), /waits for the configuration from a peer/);
    fleet.advance(1000);
    equal(host.follower.getConfiguration().version, 3);
    equal(host.follower.isReady(), true);
  });

  it('restarts during an outage with a peer\'s configuration, and is not ready without one', () => {
    const fleet = new ConfigurationFleet();
    fleet.store.isDown = true;
    const old = fleet.add('a1');
    old.follower.adoptIfNewer(createSampleConfiguration(6));
    const started = fleet.add('a2');
    fleet.isolatedIds.add(started.hostId);
    fleet.sendHeartbeats();
    fleet.advance(5000);
    equal(started.follower.isReady(), false);
    match(started.follower.getNotReadyReason(), /neither the platform nor a peer/);
    fleet.isolatedIds.clear();
    fleet.sendHeartbeats();
    equal(started.follower.getConfiguration().version, 6);
  });

  it('is ready without any configuration only when the platform says that there is none', () => {
    const fleet = new ConfigurationFleet();
    const { follower } = fleet.add('a1');
    equal(follower.isReady(), false);
    fleet.advance(100);
    equal(follower.isReady(), true);
    equal(follower.getConfiguration().version, 0);
    follower.recordPeerVersion(PEER_ID, 'b1', 3);
    equal(follower.isReady(), false);
  });

  it('comes back from an outage without a stampede', () => {
    const fleet = new ConfigurationFleet();
    setHead(fleet, 1);
    for (let index = 0; index < 40; index += 1) {
      fleet.add(`host-${index}`).follower.setIsWatcher(true);
    }
    fleet.advance(1000);
    fleet.store.isDown = true;
    fleet.advance(60_000);
    const outageCalls = fleet.callCount;
    fleet.advance(60_000);
    // Backed off to 8 s and spread: 40 hosts make 5 calls a second on average.
    ok(fleet.callCount - outageCalls <= 40 * 15);
    fleet.store.isDown = false;
    const counts = Array.from({ length: 20 }, () => {
      const before = fleet.callCount;
      fleet.advance(500);
      return fleet.callCount - before;
    });
    // All 40 within half a second would be the stampede.
    ok(Math.max(...counts) <= 10, counts.join());
    setHead(fleet, 2);
    fleet.advance(500);
    ok(getVersions(fleet).every((version) => version === 2));
  });

  it('polls rarely when it does not watch', () => {
    const fleet = new ConfigurationFleet();
    setHead(fleet, 1);
    const { follower } = fleet.add('a1');
    fleet.advance(600_000, 1000);
    ok(fleet.callCount <= 20, String(fleet.callCount));
    setHead(fleet, 2);
    fleet.advance(90_000, 1000);
    equal(follower.getConfiguration().version, 2);
  });

  it('counts a read that nobody answers as lost', () => {
    const fleet = new ConfigurationFleet();
    setHead(fleet, 1);
    fleet.store.faults.push({ kind: 'get', fault: 'silent' });
    const { follower } = fleet.add('a1');
    fleet.advance(1000);
    equal(follower.isReady(), false);
    fleet.advance(6000);
    equal(follower.isReady(), true);
  });
});
