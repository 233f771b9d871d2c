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

interface ReversionCase {
  readonly name: string;
  readonly act: (fleet: ConfigurationFleet, host: FleetHost) => void;
}

const REVERSION_CASES: readonly ReversionCase[] = [
  {
    name: 'a stale read',
    act: (fleet, host) => {
      setHead(fleet, 4, 9);
      fleet.advance(70_000);
      equal(host.follower.isPlatformReachable(), true);
    },
  },
  {
    name: 'a restore of the store to an earlier version',
    act: (fleet) => {
      setHead(fleet, 2, 1);
      fleet.advance(70_000);
    },
  },
  {
    name: 'the loss of the head in the store',
    act: (fleet) => {
      fleet.store.entries.clear();
      fleet.advance(70_000);
    },
  },
  {
    name: 'a head that can\'t be parsed',
    act: (fleet) => {
      fleet.store.entries.set(CONFIGURATION_HEAD_KEY, { version: 9, value: '{"version":99}' });
      fleet.advance(70_000);
    },
  },
  {
    name: 'a configuration from a stale peer',
    act: (_fleet, { follower }) => follower.handlePeerMessage(
      PEER_ID,
      { kind: 'configuration', configuration: createSampleConfiguration(4) },
    ),
  },
  {
    name: 'a configuration of the same version with other content from a peer',
    act: (_fleet, { follower }) => follower.handlePeerMessage(
      PEER_ID,
      { kind: 'configuration', configuration: { ...createSampleConfiguration(5), pools: [] } },
    ),
  },
  {
    name: 'a malformed configuration from a peer',
    act: (_fleet, { follower }) => follower.handlePeerMessage(
      PEER_ID,
      { kind: 'configuration', configuration: { version: 9 } as never },
    ),
  },
  {
    name: 'an outage of the platform',
    act: (fleet) => {
      fleet.store.isDown = true;
      fleet.advance(70_000);
    },
  },
];

describe('ConfigurationFollower', () => {
  REVERSION_CASES.forEach(({ name, act }) => {
    [true, false].forEach((isWatcher) => {
      it(`keeps the configuration after ${name} when ${isWatcher ? 'watching' : 'polling'}`, () => {
        const fleet = new ConfigurationFleet();
        const host = fleet.add('entry-a1');
        host.follower.setIsWatcher(isWatcher);
        setHead(fleet, 5);
        fleet.advance(1000);
        const before = host.follower.getConfiguration();
        equal(before.version, 5);
        act(fleet, host);
        fleet.settle();
        deepEqual(host.follower.getConfiguration(), before);
        equal(host.follower.isReady(), true);
      });
    });
  });

  it('adopts a change on all hosts after one watch and the announcements to the others', () => {
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
    // Each of the 7 other hosts receives the whole configuration once.
    equal(fleet.sentConfigurationCount, 7);
  });

  it('adopts a version from a heartbeat when it missed the announcement', () => {
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

  it('queries another peer when the first one does not answer', () => {
    const fleet = new ConfigurationFleet();
    fleet.store.isDown = true;
    const host = fleet.add('a1');
    const source = fleet.add('b1');
    source.follower.adoptIfNewer(createSampleConfiguration(3));
    host.follower.recordPeerVersion(PEER_ID, 'gone', 7);
    host.follower.recordPeerVersion(source.hostId, 'b1', 3);
    fleet.settle();
    equal(host.follower.getConfiguration().version, 0);
    match(host.follower.getNotReadyReason(), /waiting for the configuration from a peer/);
    fleet.advance(1000);
    equal(host.follower.getConfiguration().version, 3);
    equal(host.follower.isReady(), true);
  });

  it('is ready after a restart during an outage only with the configuration of a peer', () => {
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

  it('is ready without a configuration only when the platform reports that none exists', () => {
    const fleet = new ConfigurationFleet();
    const { follower } = fleet.add('a1');
    equal(follower.isReady(), false);
    fleet.advance(100);
    equal(follower.isReady(), true);
    equal(follower.getConfiguration().version, 0);
    follower.recordPeerVersion(PEER_ID, 'b1', 3);
    equal(follower.isReady(), false);
  });

  it('spreads the reads of many hosts after an outage', () => {
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
    // With a backoff of 8 s and jitter, 40 hosts make 5 calls a second on average.
    ok(fleet.callCount - outageCalls <= 40 * 15);
    fleet.store.isDown = false;
    const counts = Array.from({ length: 20 }, () => {
      const before = fleet.callCount;
      fleet.advance(500);
      return fleet.callCount - before;
    });
    // Without jitter, all 40 calls would arrive within half a second.
    ok(Math.max(...counts) <= 10, counts.join());
    setHead(fleet, 2);
    fleet.advance(500);
    ok(getVersions(fleet).every((version) => version === 2));
  });

  it('polls at a low rate when it does not watch', () => {
    const fleet = new ConfigurationFleet();
    setHead(fleet, 1);
    const { follower } = fleet.add('a1');
    fleet.advance(600_000, 1000);
    ok(fleet.callCount <= 20, String(fleet.callCount));
    setHead(fleet, 2);
    fleet.advance(90_000, 1000);
    equal(follower.getConfiguration().version, 2);
  });

  it('repeats a read that is not answered in time', () => {
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
