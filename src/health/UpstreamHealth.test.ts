import { equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { PoolRecord } from '../configuration/records/PoolRecord.ts';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import type { AttemptFailure } from '../upstreams/AttemptFailure.ts';
import { UpstreamHealth } from './UpstreamHealth.ts';

const POOL: PoolRecord = {
  id: 'engines',
  kind: 'engine',
  maxConcurrency: 16,
  coldConcurrency: 2,
  warmupMs: 30_000,
  checksFencing: false,
};
const LONG_UPTIME_MS = 3_600_000;

class Rig {
  readonly context = new FakeCoreContext();

  readonly health: UpstreamHealth;

  constructor(pool: PoolRecord = POOL) {
    this.context.clock.advance(LONG_UPTIME_MS);
    this.health = new UpstreamHealth(this.context, pool);
  }

  getKind(): string {
    return this.health.state.kind;
  }

  report(incarnation: string, uptimeMs: number): void {
    this.health.recordReport({ upstreamIncarnation: incarnation, uptimeMs });
  }

  succeed(incarnation: string | null = 'i1', latencyMs = 100): void {
    this.health.recordOutcome({ incarnation, failure: null, latencyMs });
  }

  fail(failure: AttemptFailure, incarnation: string | null = null): void {
    this.health.recordOutcome({ incarnation, failure, latencyMs: 100 });
  }

  wait(durationMs: number): void {
    this.context.clock.advance(durationMs);
    this.health.tick();
  }

  warm(): this {
    this.report('i1', LONG_UPTIME_MS);
    this.succeed();
    equal(this.getKind(), 'warm');
    return this;
  }
}

describe('UpstreamHealth', () => {
  it('is cold at first contact, and warm once a report shows an old process', () => {
    const rig = new Rig();
    equal(rig.getKind(), 'cold');
    equal(rig.health.needsGrant(), true);
    rig.report('i1', POOL.warmupMs);
    equal(rig.getKind(), 'warm');
  });

  it('warms by successes and by age, not by one of them alone', () => {
    const rig = new Rig();
    rig.report('i1', 1_000);
    rig.succeed();
    rig.succeed();
    rig.succeed();
    equal(rig.getKind(), 'warming');
    equal(rig.health.getNextWakeMs(), LONG_UPTIME_MS + 29_000);
    rig.wait(29_000);
    equal(rig.getKind(), 'warm');
  });

  it('is warm at once in a pool without warm-up', () => {
    equal(new Rig({ ...POOL, warmupMs: 0 }).health.state.kind, 'warm');
  });

  it('takes nothing while cold where the pool says so, and warms by time', () => {
    const rig = new Rig({ ...POOL, coldConcurrency: 0 });
    equal(rig.health.acceptsWork(), false);
    rig.wait(rig.health.getNextWakeMs() - rig.context.getNowMs());
    equal(rig.getKind(), 'warm');
  });

  const coldEvidence: readonly (readonly [string, (rig: Rig) => void])[] = [
    ['a report of another incarnation', (rig) => rig.report('i2', 500)],
    ['an answer of another incarnation', (rig) => rig.succeed('i2')],
    ['an error from another incarnation', (rig) => rig.fail('errored', 'i2')],
    ['a fall of the uptime', (rig) => rig.report('i1', 500)],
    ['a crash', (rig) => rig.fail('crashed')],
    ['connections that fail', (rig) => {
      rig.fail('unreachable');
      rig.fail('unreachable');
    }],
    ['a failed connection, then an answer without incarnation', (rig) => {
      rig.fail('unreachable');
      rig.succeed(null);
    }],
    ['slow first answers after a pause', (rig) => {
      rig.wait(60_000);
      rig.succeed('i1', 401);
      rig.succeed('i1', 401);
    }],
  ];
  coldEvidence.forEach(([name, act]) => it(`needs grants again after ${name}`, () => {
    const rig = new Rig().warm();
    rig.wait(20_000);
    act(rig);
    equal(rig.health.needsGrant(), true, rig.getKind());
  }));

  const harmless: readonly (readonly [string, (rig: Rig) => void])[] = [
    ['a late report', (rig) => rig.report('i1', LONG_UPTIME_MS - 5_000)],
    ['one failed connection, then the same incarnation', (rig) => {
      rig.fail('unreachable');
      rig.succeed('i1');
    }],
    ['an error of its own', (rig) => rig.fail('errored', 'i1')],
    ['one slow answer after a pause', (rig) => {
      rig.wait(60_000);
      rig.succeed('i1', 900);
      rig.succeed('i1', 100);
      rig.succeed('i1', 900);
    }],
    ['slow answers without a pause, which may be load', (rig) => {
      rig.succeed('i1', 900);
      rig.succeed('i1', 900);
    }],
  ];
  harmless.forEach(([name, act]) => it(`stays warm after ${name}`, () => {
    const rig = new Rig().warm();
    act(rig);
    equal(rig.getKind(), 'warm');
  }));

  const coldFailures: readonly AttemptFailure[] = ['refused', 'crashed', 'unreachable', 'timedOut'];
  coldFailures.forEach((failure) => it(`falls back to cold when warming and ${failure}`, () => {
    const rig = new Rig();
    rig.succeed();
    equal(rig.getKind(), 'warming');
    rig.fail(failure, 'i1');
    equal(rig.getKind(), 'cold');
    equal(rig.health.acceptsWork(), false);
    rig.wait(500);
    equal(rig.health.acceptsWork(), true);
    rig.fail(failure, 'i1');
    rig.wait(999);
    equal(rig.health.acceptsWork(), false);
    rig.wait(1);
    equal(rig.health.acceptsWork(), true);
  }));

  it('takes a late answer or report of a replaced incarnation for nothing', () => {
    const rig = new Rig().warm();
    rig.report('i2', 500);
    rig.succeed('i1');
    rig.report('i1', LONG_UPTIME_MS);
    equal(rig.getKind(), 'cold');
  });

  it('returns from a broken connection by a report made after it, not by an earlier one', () => {
    const rig = new Rig().warm();
    rig.fail('crashed');
    rig.wait(2_000);
    rig.report('i1', LONG_UPTIME_MS);
    equal(rig.getKind(), 'cold');
    rig.report('i1', LONG_UPTIME_MS + 1_900);
    equal(rig.getKind(), 'warm');
  });

  it('drains, is gone when nothing runs, and returns cold', () => {
    const rig = new Rig().warm();
    rig.health.setDrained(true, 1);
    equal(rig.getKind(), 'draining');
    equal(rig.health.acceptsWork(), false);
    rig.health.recordLastAttemptEnded();
    equal(rig.getKind(), 'gone');
    rig.report('i1', LONG_UPTIME_MS);
    rig.health.setDrained(false, 0);
    equal(rig.getKind(), 'cold');
    rig.report('i1', LONG_UPTIME_MS);
    equal(rig.health.needsGrant(), true);
    [1, 2, 3].forEach(() => rig.succeed());
    equal(rig.getKind(), 'warm');
  });
});
