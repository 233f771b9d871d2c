import { equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import type { HostEntry } from '../directory/HostEntry.ts';
import { toId, type HostId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import { CoordinatorMonitor } from './CoordinatorMonitor.ts';

const HOST: HostEntry = {
  id: toId<HostId>('h'),
  failureDomain: 'a',
  peerAddress: '127.0.0.1:1',
  processorCores: 1,
  linkMbps: 1_000,
};

/** Fails at once whenever the host is used again; returns how often that is within a time. */
function countReturns(durationMs: number): number {
  const clock = new ManualClock();
  const watch = new CoordinatorMonitor({
    clock, connections: new UpstreamConnections(), logger: pino({ level: 'silent' }),
  });
  let count = 0;
  for (let nowMs = 0; nowMs < durationMs; nowMs += 100) {
    if (!watch.isAvoided(HOST)) {
      watch.recordFailure(HOST, 'silent');
      count += 1;
    }
    clock.advance(100);
  }
  return count;
}

describe('PlacerWatch', () => {
  it('goes back less and less often to a host that keeps failing', () => {
    equal(countReturns(1_500), 1);
    equal(countReturns(20_000), 4);
  });

  it('forgives a host that has been good for a while', () => {
    const clock = new ManualClock();
    const watch = new CoordinatorMonitor({
      clock, connections: new UpstreamConnections(), logger: pino({ level: 'silent' }),
    });
    watch.recordFailure(HOST, 'silent');
    clock.advance(12_000);
    watch.recordFailure(HOST, 'silent');
    clock.advance(1_500);
    equal(watch.isAvoided(HOST), false);
  });
});
