import { deepEqual, equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { toId, type UpstreamId } from '../lib/ids.ts';
import { FakeCoreContext } from '../../test/support/FakeCoreContext.ts';
import { PoolEjection } from './PoolEjection.ts';

const MEMBERS = ['u1', 'u2', 'u3', 'u4'].map((id) => toId<UpstreamId>(id));

class Rig {
  readonly context = new FakeCoreContext();

  readonly ejection = new PoolEjection(this.context);

  constructor() {
    this.ejection.setMemberCount(MEMBERS.length);
  }

  /** Lets some ticks pass in which the first upstreams fail half of their attempts. */
  run(ticks: number, failingCount: number): void {
    for (let tick = 0; tick < ticks; tick += 1) {
      MEMBERS.forEach((id, index) => {
        for (let attempt = 0; attempt < 10; attempt += 1) {
          this.ejection.recordAttempt(id, index < failingCount && attempt % 2 === 0);
        }
      });
      this.context.clock.advance(500);
      this.ejection.tick();
    }
  }

  getEjected(): string[] {
    return MEMBERS.filter((id) => this.ejection.isEjected(id));
  }
}

describe('PoolEjection', () => {
  it('ejects a failing upstream and takes it back, longer each time', () => {
    const rig = new Rig();
    rig.run(4, 1);
    deepEqual(rig.getEjected(), ['u1']);
    const firstMs = rig.ejection.getNextWakeMs() - rig.context.getNowMs();
    rig.context.clock.advance(firstMs);
    deepEqual(rig.ejection.tick(), ['u1']);
    rig.run(3, 1);
    deepEqual(rig.getEjected(), ['u1']);
    rig.context.clock.advance(firstMs);
    rig.ejection.tick();
    deepEqual(rig.getEjected(), ['u1']);
  });

  it('never ejects more than half of a pool: then the fault is elsewhere', () => {
    [3, 4].forEach((failingCount) => {
      const rig = new Rig();
      rig.run(20, failingCount);
      deepEqual(rig.getEjected(), []);
    });
  });

  it('never ejects the only upstream', () => {
    const rig = new Rig();
    rig.ejection.setMemberCount(1);
    rig.run(20, 1);
    deepEqual(rig.getEjected(), []);
  });

  it('asks for no tick while nothing happens', () => {
    const rig = new Rig();
    equal(rig.ejection.getNextWakeMs(), Infinity);
    rig.run(1, 0);
    equal(rig.ejection.getNextWakeMs(), Infinity);
  });
});
