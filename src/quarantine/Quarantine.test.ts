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

/** Neighbouring small seeds give the generator nearly the same first value. */
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
  it('makes every request that shared a dead upstream run alone there', () => {
    const { quarantine } = getHost(createHosts(1), 0);
    ['poison', 'innocent'].forEach((print) => quarantine.recordCrash(print, POOL, FIRST));
    assert.equal(quarantine.mustRunAlone('innocent', POOL), true);
    assert.equal(quarantine.mustRunAlone('innocent', OTHER_POOL), false);
    assert.equal(quarantine.getRefusal('poison'), null);
  });

  it('clears an innocent that ran alone and quarantines after the second death', () => {
    const { quarantine } = getHost(createHosts(1), 0);
    ['poison', 'innocent'].forEach((print) => quarantine.recordCrash(print, POOL, FIRST));
    quarantine.recordAnswered('innocent', POOL, true);
    quarantine.recordCrash('poison', POOL, SECOND);
    assert.equal(quarantine.mustRunAlone('innocent', POOL), false);
    assert.deepEqual(quarantine.getRefusal('poison'), { retryAfterMs: 600_000 });
  });

  it('is not cleared by a run in company or in another pool', () => {
    const { quarantine } = getHost(createHosts(1), 0);
    quarantine.recordCrash('poison', POOL, FIRST);
    quarantine.recordAnswered('poison', POOL, false);
    quarantine.recordAnswered('poison', OTHER_POOL, true);
    assert.equal(quarantine.mustRunAlone('poison', POOL), true);
  });

  it('counts two broken connections to one incarnation once', () => {
    const { quarantine } = getHost(createHosts(1), 0);
    quarantine.recordCrash('poison', POOL, FIRST);
    quarantine.recordCrash('poison', POOL, FIRST);
    assert.equal(quarantine.getRefusal('poison'), null);
    quarantine.recordIncarnation(FIRST, 'b');
    quarantine.recordCrash('poison', POOL, FIRST);
    assert.notEqual(quarantine.getRefusal('poison'), null);
  });

  it('lets a quarantined request come back after the retention', () => {
    const { quarantine, context } = getHost(createHosts(1), 0);
    quarantine.recordCrash('poison', POOL, FIRST);
    quarantine.recordCrash('poison', POOL, SECOND);
    context.clock.advance(600_000);
    assert.equal(quarantine.getRefusal('poison'), null);
  });

  it('keeps a bounded number of suspects', () => {
    const { quarantine } = getHost(createHosts(1, 10), 0);
    Array.from({ length: 50 }, (_, index) => quarantine.recordCrash(`p${index}`, POOL, FIRST));
    assert.equal(quarantine.suspectCount, 10);
    assert.equal(quarantine.mustRunAlone('p49', POOL), true);
  });

  const CUTS = [
    { name: 'a report that may be late', waitMs: 100, isTakenBack: false },
    { name: 'a report after the lag', waitMs: 5000, isTakenBack: true },
  ];
  CUTS.forEach(({ name, waitMs, isTakenBack }) => {
    it(`after a broken connection, ${name} of the same incarnation`, () => {
      const hosts = createHosts(2);
      const { quarantine, context } = getHost(hosts, 0);
      quarantine.recordCrash('innocent', POOL, FIRST);
      deliver(hosts);
      context.clock.advance(waitMs);
      quarantine.recordIncarnation(FIRST, 'a');
      deliver(hosts);
      hosts.forEach((host) => {
        assert.equal(host.quarantine.mustRunAlone('innocent', POOL), !isTakenBack);
      });
    });
  });
});

describe('Quarantine among hosts', () => {
  [1, 2].forEach((times) => {
    it(`knows a poison request at every host, messages delivered ${times} times`, () => {
      const hosts = createHosts(12);
      getHost(hosts, 0).quarantine.recordCrash('poison', POOL, FIRST);
      deliver(hosts, times);
      getHost(hosts, 1).quarantine.recordCrash('poison', POOL, SECOND);
      deliver(hosts, times);
      hosts.forEach(({ quarantine }) => assert.notEqual(quarantine.getRefusal('poison'), null));
    });
  });

  it('counts a death that two hosts tell of once', () => {
    const hosts = createHosts(3);
    getHost(hosts, 0).quarantine.recordCrash('innocent', POOL, FIRST);
    getHost(hosts, 1).quarantine.recordCrash('innocent', POOL, FIRST);
    deliver(hosts);
    hosts.forEach(({ quarantine }) => assert.equal(quarantine.getRefusal('innocent'), null));
  });

  it('clears an innocent at every host, and a quarantined request at none', () => {
    const hosts = createHosts(3);
    const { quarantine } = getHost(hosts, 0);
    ['poison', 'innocent'].forEach((print) => quarantine.recordCrash(print, POOL, FIRST));
    quarantine.recordCrash('poison', POOL, SECOND);
    deliver(hosts);
    getHost(hosts, 1).quarantine.recordAnswered('innocent', POOL, true);
    getHost(hosts, 1).quarantine.recordAnswered('poison', POOL, true);
    deliver(hosts);
    hosts.forEach((host) => {
      assert.equal(host.quarantine.mustRunAlone('innocent', POOL), false);
      assert.notEqual(host.quarantine.getRefusal('poison'), null);
    });
  });
});
