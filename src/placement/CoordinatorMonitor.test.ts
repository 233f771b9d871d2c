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

/** Counts how often a host that always fails is chosen again within a time. */
function countReturns(durationMs: number): number {
  const clock = new ManualClock();
  const monitor = new CoordinatorMonitor({
    clock, connections: new UpstreamConnections(), logger: pino({ level: 'silent' }),
  });
  let count = 0;
  for (let nowMs = 0; nowMs < durationMs; nowMs += 100) {
    if (!monitor.isAvoided(HOST)) {
      monitor.recordFailure(HOST, 'silent');
      count += 1;
    }
    clock.advance(100);
  }
  return count;
}

describe('CoordinatorMonitor', () => {
  it('doubles the time for which a host that keeps failing is avoided', () => {
    equal(countReturns(1_500), 1);
    equal(countReturns(20_000), 4);
  });

  it('resets the avoidance time after ten seconds without a failure', () => {
    const clock = new ManualClock();
    const monitor = new CoordinatorMonitor({
      clock, connections: new UpstreamConnections(), logger: pino({ level: 'silent' }),
    });
    monitor.recordFailure(HOST, 'silent');
    clock.advance(12_000);
    monitor.recordFailure(HOST, 'silent');
    clock.advance(1_500);
    equal(monitor.isAvoided(HOST), false);
  });
});
