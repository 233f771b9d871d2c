import { ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { pino } from 'pino';
import { createHostChange } from '../../test/support/createHostChange.ts';
import { Directory } from '../directory/Directory.ts';
import {
  toId, type HostId, type PoolId, type UpstreamId,
} from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { HostShares } from './HostShares.ts';
import { RETRY_REASON } from './RetryDecision.ts';
import { RelayMetrics } from './RelayMetrics.ts';

const POOL_ID = toId<PoolId>('pool');
const UPSTREAM_ID = toId<UpstreamId>('u');
const SLACK = 52;
const RATIO = 0.2;
const WINDOW_MS = 10_000;
const STEP_MS = 100;

/** A host process with its own directory. */
class TestHost {
  readonly directory: Directory;

  readonly shares: HostShares;

  constructor(clock: ManualClock, name: string) {
    this.directory = new Directory(clock);
    this.shares = new HostShares({
      clock,
      hostId: toId<HostId>(name),
      directory: this.directory,
      bounds: {
        retryRatio: RATIO,
        retrySlack: SLACK,
        retryWindowMs: WINDOW_MS,
        coldOvershoot: 1,
        coldSlack: 1,
      },
      logger: pino({ level: 'silent' }),
      metrics: new RelayMetrics(),
    });
  }

  /** Adds entries of hosts to the host's directory. */
  addHosts(...names: string[]): this {
    names.forEach((name, index) => this.directory.apply(
      createHostChange(name, { registeredRevision: index }),
    ));
    return this;
  }

  /** Sends as many retries as the host allows now and returns their number. */
  sendRetries(): number {
    let count = 0;
    while (this.shares.tryRetry({
      requestId: 'r', poolId: POOL_ID, kind: 'whole', reason: RETRY_REASON.notRun,
    })?.trySend(UPSTREAM_ID) === true) {
      this.shares.recordAnswered(POOL_ID, UPSTREAM_ID);
      count += 1;
    }
    return count;
  }
}

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f'];

function createFleet(clock: ManualClock): TestHost[] {
  return NAMES.map((name) => new TestHost(clock, name).addHosts(...NAMES));
}

/** Sends all retries that the hosts allow for a time and returns their total. */
function retryFor(clock: ManualClock, hosts: readonly TestHost[], durationMs: number): number {
  let sum = 0;
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
    clock.advance(STEP_MS);
    sum += hosts.reduce((count, host) => count + host.sendRetries(), 0);
  }
  return sum;
}

describe('HostShares', () => {
  it('divides the slack among all hosts', () => {
    const clock = new ManualClock();
    const hosts = createFleet(clock);
    clock.advance(WINDOW_MS * 2);
    const sum = retryFor(clock, hosts, WINDOW_MS);
    ok(sum > SLACK / 2 && sum <= SLACK, `${sum} retries`);
  });

  it('keeps the slack limit for hosts that start while no other host is registered', () => {
    const clock = new ManualClock();
    const hosts = NAMES.map((name) => new TestHost(clock, name).addHosts(name));
    hosts.forEach(({ directory }) => directory.apply({
      kind: 'hostCount', count: NAMES.length, revision: 1,
    }));
    clock.advance(WINDOW_MS * 2);
    const sum = retryFor(clock, hosts, WINDOW_MS);
    ok(sum <= SLACK, `${sum} retries`);
  });

  it('gives no new allowance to processes that restart within a window', () => {
    const clock = new ManualClock();
    const before = createFleet(clock);
    clock.advance(WINDOW_MS * 2);
    let sum = retryFor(clock, before, 1_000);
    for (let restart = 0; restart < 8; restart += 1) {
      sum += retryFor(clock, createFleet(clock), 1_000);
    }
    ok(sum <= SLACK, `${sum} retries`);
  });

  it('keeps the limit while hosts are added that some hosts do not know yet', () => {
    const clock = new ManualClock();
    const hosts = createFleet(clock);
    clock.advance(WINDOW_MS * 2);
    const added = ['g', 'h', 'i', 'j'];
    const all = [...NAMES, ...added];
    hosts.slice(2).forEach((host) => host.addHosts(...all));
    const joined = added.map((name) => new TestHost(clock, name).addHosts(...all));
    clock.advance(WINDOW_MS * 2);
    const sum = retryFor(clock, [...hosts, ...joined], WINDOW_MS);
    ok(sum > SLACK / 2 && sum <= SLACK, `${sum} retries`);
  });
});
