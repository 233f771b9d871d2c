import { equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { toId, type UpstreamId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { UpstreamClosureTable } from './UpstreamClosureTable.ts';

const ID = toId<UpstreamId>('u');

describe('UpstreamClosures', () => {
  it('closes one process, and not the next one under its id', () => {
    const closures = new UpstreamClosureTable(new ManualClock());
    equal(closures.recordLeaving({ id: ID, startedAtMs: 100 }), true);
    equal(closures.recordLeaving({ id: ID, startedAtMs: 100 }), false);
    equal(closures.isLeaving({ id: ID, startedAtMs: 100 }), true);
    equal(closures.isLeaving({ id: ID, startedAtMs: 101 }), false);
  });

  it('takes an entry with an earlier start, or without one, for the process that leaves', () => {
    const closures = new UpstreamClosureTable(new ManualClock());
    closures.recordLeaving({ id: ID, startedAtMs: 100 });
    equal(closures.isLeaving({ id: ID, startedAtMs: 99 }), true);
    equal(closures.isLeaving({ id: ID, startedAtMs: null }), true);
  });

  it('does not let an answer of an earlier process close a later one', () => {
    const closures = new UpstreamClosureTable(new ManualClock());
    closures.recordLeaving({ id: ID, startedAtMs: 100 });
    closures.recordLeaving({ id: ID, startedAtMs: 90 });
    equal(closures.isLeaving({ id: ID, startedAtMs: 101 }), false);
    equal(closures.isLeaving({ id: ID, startedAtMs: 100 }), true);
  });

  it('lengthens a back-off and never shortens it', () => {
    const clock = new ManualClock();
    const closures = new UpstreamClosureTable(clock);
    equal(closures.recordBackOff(ID, 2_000), true);
    clock.advance(500);
    equal(closures.recordBackOff(ID, 1_000), false);
    equal(closures.getBackOffMs(ID), 1_500);
    equal(closures.recordBackOff(ID, 3_000), true);
    clock.advance(2_999);
    equal(closures.getBackOffMs(ID), 1);
    equal(closures.isReopening(ID), false);
    clock.advance(1);
    equal(closures.getBackOffMs(ID), 0);
    equal(closures.isReopening(ID), true);
    clock.advance(1_000);
    equal(closures.isReopening(ID), false);
  });
});
