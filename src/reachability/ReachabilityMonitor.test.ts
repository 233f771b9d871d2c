import { deepEqual, equal } from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { pino } from 'pino';
import { Directory } from '../directory/Directory.ts';
import { SystemRandomSource } from '../lib/SystemRandomSource.ts';
import { toId, type PoolId, type UpstreamId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { ReachabilityMonitor } from './ReachabilityMonitor.ts';

const IDS = ['u0', 'u1', 'u2', 'u3', 'u4', 'u5'].map((name) => toId<UpstreamId>(name));

describe('ReachabilityMonitor', () => {
  let clock: ManualClock;
  let monitor: ReachabilityMonitor;
  let reachable: Set<string>;
  let changes: boolean[];
  let probeCount: number;

  beforeEach(() => {
    clock = new ManualClock();
    clock.advance(10_000);
    reachable = new Set();
    changes = [];
    probeCount = 0;
    const directory = new Directory(clock);
    IDS.forEach((id, index) => directory.apply({
      kind: 'upstream',
      entry: {
        id,
        poolId: toId<PoolId>(index < 3 ? 'engines' : 'stage'),
        softwareVersion: 'v1',
        address: id,
        failureDomain: 'a',
        isDraining: false,
        slots: 1,
        coldRemainingMs: 0,
        startedAtMs: null,
      },
    }));
    monitor = new ReachabilityMonitor({
      clock,
      directory,
      random: new SystemRandomSource(),
      probe: async (address) => {
        probeCount += 1;
        return reachable.has(address);
      },
      logger: pino({ level: 'silent' }),
      onChange: (isCutOff) => changes.push(isCutOff),
    });
  });

  function sendTo(...indexes: number[]): void {
    indexes.forEach((index) => monitor.recordSend(IDS[index] as UpstreamId));
  }

  /** Passes time in the monitor's steps and lets its probes end. */
  async function pass(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 200) {
      clock.advance(200);
      monitor.check();
      // eslint-disable-next-line no-await-in-loop -- lets the probe of this step end
      await new Promise(setImmediate);
    }
  }

  it('detects that all upstreams are silent, and that they are back', async () => {
    sendTo(0, 1);
    await pass(1_200);
    equal(monitor.isCutOff, true);
    reachable.add('u0').add('u1').add('u2').add('u3')
      .add('u4')
      .add('u5');
    await pass(200);
    deepEqual(changes, [true, false]);
  });

  it('blames upstreams that have crashed, not its path, while a single one runs', async () => {
    reachable.add('u5');
    const crashed = IDS.slice(0, 5);
    const record = (id: UpstreamId): void => monitor.recordUnreachable(id);
    for (let round = 0; round < 20; round += 1) {
      crashed.forEach(record);
      // eslint-disable-next-line no-await-in-loop -- one probe after another, of random upstreams
      await pass(1_200);
    }
    deepEqual(changes, []);
  });

  it('blames silent upstreams, not its path, while any upstream can be reached', async () => {
    ['u3', 'u4', 'u5'].forEach((address) => reachable.add(address));
    sendTo(0, 1, 2);
    await pass(2_000);
    equal(monitor.isCutOff, false);
  });

  it('detects refused connections although open ones still bring answers', async () => {
    monitor.recordUnreachable(IDS[0] as UpstreamId);
    monitor.recordUnreachable(IDS[3] as UpstreamId);
    monitor.recordAnswer(IDS[1] as UpstreamId);
    await pass(200);
    equal(monitor.isCutOff, true);
  });

  it('opens no connections while upstreams answer, or when only one is silent', async () => {
    sendTo(0, 1);
    for (let step = 0; step < 10; step += 1) {
      monitor.recordAnswer(IDS[2] as UpstreamId);
      // eslint-disable-next-line no-await-in-loop -- answers follow one another
      await pass(400);
    }
    sendTo(0);
    await pass(2_000);
    equal(probeCount, 0);
  });
});
