import { strict as assert } from 'node:assert';
import { describe, it } from 'node:test';
import { toId, type PoolId, type UpstreamId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import { Quarantine } from './Quarantine.ts';

const POOL = toId<PoolId>('model');
const OTHER_POOL = toId<PoolId>('encoders');
const FIRST = toId<UpstreamId>('engine-1');
const SECOND = toId<UpstreamId>('engine-2');

/** Distance between seeds: adjacent small seeds give nearly the same first random value. */
const SEED_STEP = 0x9e3779b1;

interface Host {
  readonly context: FakeCoreContext;
  readonly quarantine: Quarantine;
}

function createHosts(count: number, maxSuspects = 100): Host[] {
  const clock = new ManualClock();
  const hosts = Array.from({ length: count }, (_, index) => {
    const context = new FakeCoreContext(`host-${index}`, clock, (index + 1) * SEED_STEP);
    return { context, quarantine: new Quarantine(context, { maxSuspects }) };
  });
  hosts.forEach(({ context, quarantine }) => {
    quarantine.recordIncarnation(FIRST, 'a');
    quarantine.recordIncarnation(SECOND, 'a');
    quarantine.setPeers(hosts
      .map((host) => host.context.self)
      .filter(({ hostId }) => hostId !== context.self.hostId)
      .map(({ hostId, peerAddress }) => ({ hostId, address: peerAddress })));
  });
  return hosts;
}

function deliver(hosts: readonly Host[], times = 1): void {
  let messages = hosts.flatMap(({ context }) => context.takeOutputs());
  while (messages.length > 0) {
    messages.forEach((output) => {
      const target = hosts.find(({ context }) => (
        output.kind === 'sendPeerMessage' && context.self.hostId === output.toHostId
      ));
      for (let time = 0; time < times && output.kind === 'sendPeerMessage'; time += 1) {
        target?.quarantine.handlePeerMessage(output.message);
      }
    });
    messages = hosts.flatMap(({ context }) => context.takeOutputs());
  }
}

function getHost(hosts: readonly Host[], index: number): Host {
  const host = hosts[index];
  assert.ok(host !== undefined);
  return host;
}

describe('Quarantine', () => {
  it('makes every request that shared a crashed upstream run alone in its pool', () => {
    const { quarantine } = getHost(createHosts(1), 0);
    ['harmful', 'harmless'].forEach((id) => quarantine.recordCrash(id, POOL, FIRST));
    assert.equal(quarantine.mustRunAlone('harmless', POOL), true);
    assert.equal(quarantine.mustRunAlone('harmless', OTHER_POOL), false);
    assert.equal(quarantine.getRefusal('harmful'), null);
  });

  it('clears a harmless request that ran alone and quarantines one after its second crash', () => {
    const { quarantine } = getHost(createHosts(1), 0);
    ['harmful', 'harmless'].forEach((id) => quarantine.recordCrash(id, POOL, FIRST));
    quarantine.recordAnswered('harmless', POOL, true);
    quarantine.recordCrash('harmful', POOL, SECOND);
    assert.equal(quarantine.mustRunAlone('harmless', POOL), false);
    assert.deepEqual(quarantine.getRefusal('harmful'), { retryAfterMs: 600_000 });
  });

  it('does not clear a request that ran beside others or in another pool', () => {
    const { quarantine } = getHost(createHosts(1), 0);
    quarantine.recordCrash('harmful', POOL, FIRST);
    quarantine.recordAnswered('harmful', POOL, false);
    quarantine.recordAnswered('harmful', OTHER_POOL, true);
    assert.equal(quarantine.mustRunAlone('harmful', POOL), true);
  });

  it('counts two broken connections to one incarnation once', () => {
    const { quarantine } = getHost(createHosts(1), 0);
    quarantine.recordCrash('harmful', POOL, FIRST);
    quarantine.recordCrash('harmful', POOL, FIRST);
    assert.equal(quarantine.getRefusal('harmful'), null);
    quarantine.recordIncarnation(FIRST, 'b');
    quarantine.recordCrash('harmful', POOL, FIRST);
    assert.notEqual(quarantine.getRefusal('harmful'), null);
  });

  it('allows a quarantined request again after the retention time', () => {
    const { quarantine, context } = getHost(createHosts(1), 0);
    quarantine.recordCrash('harmful', POOL, FIRST);
    quarantine.recordCrash('harmful', POOL, SECOND);
    context.clock.advance(600_000);
    assert.equal(quarantine.getRefusal('harmful'), null);
  });

  it('keeps a bounded number of suspects', () => {
    const { quarantine } = getHost(createHosts(1, 10), 0);
    Array.from({ length: 50 }, (_, index) => quarantine.recordCrash(`p${index}`, POOL, FIRST));
    assert.equal(quarantine.suspectCount, 10);
    assert.equal(quarantine.mustRunAlone('p49', POOL), true);
  });

  const REPORTS = [
    { name: 'keeps the crash on an early report', waitMs: 100, isRetracted: false },
    { name: 'retracts the crash on a report after the lag', waitMs: 5000, isRetracted: true },
  ];
  REPORTS.forEach(({ name, waitMs, isRetracted }) => {
    it(`${name} of the same incarnation`, () => {
      const hosts = createHosts(2);
      const { quarantine, context } = getHost(hosts, 0);
      quarantine.recordCrash('harmless', POOL, FIRST);
      deliver(hosts);
      context.clock.advance(waitMs);
      quarantine.recordIncarnation(FIRST, 'a');
      deliver(hosts);
      hosts.forEach((host) => {
        assert.equal(host.quarantine.mustRunAlone('harmless', POOL), !isRetracted);
      });
    });
  });
});

describe('Quarantine among hosts', () => {
  [1, 2].forEach((times) => {
    it(`quarantines a request at every host with messages delivered ${times} times`, () => {
      const hosts = createHosts(12);
      getHost(hosts, 0).quarantine.recordCrash('harmful', POOL, FIRST);
      deliver(hosts, times);
      getHost(hosts, 1).quarantine.recordCrash('harmful', POOL, SECOND);
      deliver(hosts, times);
      hosts.forEach(({ quarantine }) => assert.notEqual(quarantine.getRefusal('harmful'), null));
    });
  });

  it('counts a crash reported by two hosts once', () => {
    const hosts = createHosts(3);
    getHost(hosts, 0).quarantine.recordCrash('harmless', POOL, FIRST);
    getHost(hosts, 1).quarantine.recordCrash('harmless', POOL, FIRST);
    deliver(hosts);
    hosts.forEach(({ quarantine }) => assert.equal(quarantine.getRefusal('harmless'), null));
  });

  it('clears a harmless request at every host and a quarantined request at none', () => {
    const hosts = createHosts(3);
    const { quarantine } = getHost(hosts, 0);
    ['harmful', 'harmless'].forEach((id) => quarantine.recordCrash(id, POOL, FIRST));
    quarantine.recordCrash('harmful', POOL, SECOND);
    deliver(hosts);
    getHost(hosts, 1).quarantine.recordAnswered('harmless', POOL, true);
    getHost(hosts, 1).quarantine.recordAnswered('harmful', POOL, true);
    deliver(hosts);
    hosts.forEach((host) => {
      assert.equal(host.quarantine.mustRunAlone('harmless', POOL), false);
      assert.notEqual(host.quarantine.getRefusal('harmful'), null);
    });
  });
});
