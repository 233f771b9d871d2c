import {
  deepEqual, equal, notEqual, ok,
} from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { DrainRecord } from '../configuration/records/DrainRecord.ts';
import type { PoolRecord } from '../configuration/records/PoolRecord.ts';
import type { UpstreamRecord } from '../configuration/records/UpstreamRecord.ts';
import { SingleHostDirectory } from '../grants/SingleHostDirectory.ts';
import { toId, type PoolId, type UpstreamId } from '../lib/ids.ts';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import type { AttemptFailure } from '../upstreams/AttemptFailure.ts';
import type { AcquireRequest } from './AcquireRequest.ts';
import { PoolRouter } from './PoolRouter.ts';

const POOL: PoolRecord = {
  id: 'engines',
  kind: 'engine',
  maxConcurrency: 4,
  coldConcurrency: 1,
  warmupMs: 30_000,
  checksFencing: false,
};
const POOL_ID = toId<PoolId>('engines');
const LONG_UPTIME_MS = 3_600_000;

function createUpstream(id: string, failureDomainId = 'domain-a'): UpstreamRecord {
  return {
    id, poolId: 'engines', failureDomainId, url: `http://127.0.0.1/${id}`,
  };
}

class Rig {
  readonly context = new FakeCoreContext();

  readonly router = new PoolRouter(this.context, new SingleHostDirectory(this.context));

  readonly upstreams: readonly UpstreamRecord[];

  constructor(upstreams: readonly UpstreamRecord[], pool: PoolRecord = POOL) {
    this.upstreams = upstreams;
    this.context.clock.advance(LONG_UPTIME_MS);
    this.router.setConfiguration({ pools: [pool], upstreams: [...upstreams], drains: [] });
  }

  report(id: string, uptimeMs: number, incarnation = 'i1', queuedCount = 0): void {
    this.router.recordLoad({
      kind: 'loadReported',
      upstreamId: toId(id),
      upstreamIncarnation: incarnation,
      uptimeMs,
      runningCount: 0,
      queuedCount,
    });
  }

  warm(): this {
    this.upstreams.forEach(({ id }) => this.report(id, LONG_UPTIME_MS));
    return this;
  }

  acquire(change: Partial<AcquireRequest> = {}): UpstreamId | null {
    return this.router.tryAcquire({
      poolId: POOL_ID,
      requestId: toId('request-1'),
      accountId: toId('account-1'),
      affinityKey: null,
      excludedUpstreamIds: [],
      ...change,
    });
  }

  acquireAll(change: Partial<AcquireRequest> = {}): UpstreamId[] {
    const acquired: UpstreamId[] = [];
    let next = this.acquire(change);
    while (next !== null) {
      acquired.push(next);
      next = this.acquire(change);
    }
    return acquired;
  }

  end(id: string, failure: AttemptFailure | null = null, latencyMs = 100): void {
    this.router.recordOutcome({
      upstreamId: toId(id), upstreamIncarnation: failure === null ? 'i1' : null, failure, latencyMs,
    });
  }

  drain(...drains: DrainRecord[]): void {
    this.router.setDrains(drains);
  }
}

describe('PoolRouter', () => {
  it('fills warm upstreams up to their limit and takes again what is freed', () => {
    const rig = new Rig([createUpstream('u1'), createUpstream('u2')]).warm();
    equal(rig.acquireAll().length, 8);
    deepEqual(
      rig.router.getCapacity(POOL_ID),
      { limit: 8, running: 8, usableUpstreams: 2 },
    );
    rig.router.takeChangedPools();
    rig.end('u2');
    deepEqual(rig.router.takeChangedPools(), [POOL_ID]);
    deepEqual(rig.acquireAll(), ['u2']);
  });

  it('gives a cold upstream no more than a granted slot', () => {
    const rig = new Rig([createUpstream('u1')]);
    equal(rig.acquireAll().length, 1);
    rig.end('u1');
    equal(rig.acquireAll().length, 1);
  });

  it('bounds an attempt at a cold upstream by its slot, and a warm one by its deadline', () => {
    const rig = new Rig([createUpstream('u1')]);
    rig.acquire({ timeoutMs: 60_000 });
    ok(rig.router.getAttemptTimeoutMs(60_000) <= 12_000);
    equal(rig.router.getAttemptTimeoutMs(3_000), 3_000);
    const warm = new Rig([createUpstream('u1')]).warm();
    warm.acquire();
    equal(warm.router.getAttemptTimeoutMs(60_000), 60_000);
  });

  it('keeps the slot of a timed-out attempt until its time is over', () => {
    const rig = new Rig([createUpstream('u1')]);
    equal(rig.acquireAll().length, 1);
    rig.end('u1', 'timedOut');
    rig.context.clock.advance(7_000);
    rig.router.tick();
    equal(rig.acquireAll().length, 0);
    rig.context.clock.advance(2_000);
    rig.router.tick();
    equal(rig.acquireAll().length, 1);
  });

  it('retries into no cold upstream', () => {
    const rig = new Rig([createUpstream('u1'), createUpstream('u2')]);
    rig.acquire();
    equal(rig.acquire({ excludedUpstreamIds: [toId('u1')] }), null);
  });

  it('uses a cold upstream for a stage that may not be repeated only as a last choice', () => {
    const rig = new Rig([createUpstream('u1'), createUpstream('u2')]);
    rig.report('u1', LONG_UPTIME_MS);
    [1, 2, 3, 4].forEach(() => equal(rig.acquire({ isRepeatable: false }), 'u1'));
    equal(rig.acquire({ isRepeatable: false }), 'u2');
  });

  it('ramps up from a low limit after a start', () => {
    const rig = new Rig([createUpstream('u1')]).warm();
    rig.report('u1', 1_000, 'i2');
    rig.context.clock.advance(30_000);
    [1, 2, 3].forEach(() => {
      rig.acquire();
      rig.router.recordOutcome({
        upstreamId: toId('u1'), upstreamIncarnation: 'i2', failure: null, latencyMs: 100,
      });
    });
    equal(rig.acquireAll().length, 1);
  });

  const drains: readonly (readonly [string, DrainRecord])[] = [
    ['upstream', { kind: 'upstream', id: 'u1' }],
    ['failure domain', { kind: 'failureDomain', id: 'domain-b' }],
  ];
  drains.forEach(([name, drain]) => it(`sends nothing to a drained ${name}`, () => {
    const rig = new Rig([createUpstream('u1', 'domain-b'), createUpstream('u2')]).warm();
    rig.drain(drain);
    deepEqual([...new Set(rig.acquireAll())], ['u2']);
    rig.drain();
    equal(rig.router.getUpstream(toId('u1'))?.health.state.kind, 'cold');
  }));

  it('never chooses an upstream that just failed the request', () => {
    const rig = new Rig([createUpstream('u1'), createUpstream('u2')]).warm();
    const excludedUpstreamIds = [toId<UpstreamId>('u1')];
    deepEqual([...new Set(rig.acquireAll({ excludedUpstreamIds }))], ['u2']);
  });

  it('lets a request that failed at every upstream try again', () => {
    const rig = new Rig([createUpstream('u1'), createUpstream('u2')]).warm();
    notEqual(rig.acquire({ excludedUpstreamIds: [toId('u1'), toId('u2')] }), null);
  });

  it('prefers its own failure domain until it is loaded', () => {
    const rig = new Rig([createUpstream('near'), createUpstream('far', 'domain-b')]).warm();
    deepEqual([rig.acquire(), rig.acquire(), rig.acquire()], ['near', 'near', 'near']);
    ok(rig.acquireAll().includes(toId('far')));
  });

  it('sends the same key to the same upstream, and elsewhere when that is loaded', () => {
    const upstreams = ['u1', 'u2', 'u3', 'u4'].map((id) => createUpstream(id));
    const rig = new Rig(upstreams).warm();
    const first = rig.acquire({ affinityKey: 'prefix' });
    equal(rig.acquire({ affinityKey: 'prefix' }), first);
    equal(rig.acquire({ affinityKey: 'prefix' }), first);
    notEqual(rig.acquire({ affinityKey: 'prefix' }), first);
  });

  it('avoids an upstream that answers slowly', () => {
    const upstreams = ['u1', 'u2', 'u3', 'u4'].map((id) => createUpstream(id));
    const rig = new Rig(upstreams).warm();
    let slowCount = 0;
    for (let index = 0; index < 400; index += 1) {
      const id = rig.acquire() ?? 'none';
      slowCount += id === 'u1' ? 1 : 0;
      rig.context.clock.advance(10);
      rig.end(id, null, id === 'u1' ? 1_000 : 100);
    }
    ok(slowCount < 50, `${slowCount}`);
  });

  it('ejects an upstream that fails, and takes it back later', () => {
    const upstreams = ['u1', 'u2', 'u3'].map((id) => createUpstream(id));
    const rig = new Rig(upstreams).warm();
    for (let index = 0; index < 400; index += 1) {
      const id = rig.acquire() ?? 'none';
      rig.context.clock.advance(10);
      rig.router.tick();
      rig.end(id, id === 'u1' ? 'errored' : null);
    }
    ok(!rig.acquireAll().includes(toId('u1')));
    rig.context.clock.advance(60_000);
    rig.router.tick();
    ok(rig.acquireAll().includes(toId('u1')));
  });

  it('forgets what left the configuration, with its late outcomes', () => {
    const rig = new Rig([createUpstream('u1')]).warm();
    rig.acquire();
    rig.router.setConfiguration({ pools: [POOL], upstreams: [], drains: [] });
    rig.end('u1');
    equal(rig.acquire(), null);
    equal(rig.router.getNextWakeMs(), Infinity);
  });

  it('asks for no tick when all is warm and quiet', () => {
    equal(new Rig([createUpstream('u1')]).warm().router.getNextWakeMs(), Infinity);
  });
});
