import { equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { toId, type UpstreamId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { UpstreamClosures } from './UpstreamClosures.ts';

const ID = toId<UpstreamId>('u');

describe('UpstreamClosures', () => {
  it('closes one process, and not the next one under its id', () => {
    const closures = new UpstreamClosures(new ManualClock());
    equal(closures.noteLeaving({ id: ID, startedAtMs: 100 }), true);
    equal(closures.noteLeaving({ id: ID, startedAtMs: 100 }), false);
    equal(closures.isLeaving({ id: ID, startedAtMs: 100 }), true);
    equal(closures.isLeaving({ id: ID, startedAtMs: 101 }), false);
  });

  it('takes an entry with an earlier start, or without one, for the process that leaves', () => {
    const closures = new UpstreamClosures(new ManualClock());
    closures.noteLeaving({ id: ID, startedAtMs: 100 });
    equal(closures.isLeaving({ id: ID, startedAtMs: 99 }), true);
    equal(closures.isLeaving({ id: ID, startedAtMs: null }), true);
  });

  it('does not let an answer of an earlier process close a later one', () => {
    const closures = new UpstreamClosures(new ManualClock());
    closures.noteLeaving({ id: ID, startedAtMs: 100 });
    closures.noteLeaving({ id: ID, startedAtMs: 90 });
    equal(closures.isLeaving({ id: ID, startedAtMs: 101 }), false);
    equal(closures.isLeaving({ id: ID, startedAtMs: 100 }), true);
  });

  it('lengthens a back-off and never shortens it', () => {
    const clock = new ManualClock();
    const closures = new UpstreamClosures(clock);
    equal(closures.noteBackOff(ID, 2_000), true);
    clock.advance(500);
    equal(closures.noteBackOff(ID, 1_000), false);
    equal(closures.getBackOffMs(ID), 1_500);
    equal(closures.noteBackOff(ID, 3_000), true);
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
