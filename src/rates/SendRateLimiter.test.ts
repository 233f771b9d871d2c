import { equal, ok } from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { pino } from 'pino';
import { createHostChange } from '../../test/support/createHostChange.ts';
import { Directory } from '../directory/Directory.ts';
import type { UpstreamEntry } from '../directory/UpstreamEntry.ts';
import {
  toId, type HostId, type PoolId, type UpstreamId,
} from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { LimitCoordinators, TAKEOVER_DELAY_MS } from './LimitCoordinators.ts';
import { SendRateLimiter } from './SendRateLimiter.ts';

const POOL_ID = toId<PoolId>('pool');
const UPSTREAM: UpstreamEntry = {
  id: toId<UpstreamId>('u'),
  startedAtMs: 1,
  poolId: POOL_ID,
  address: 'u:1',
  failureDomain: 'a',
  isDraining: false,
  slots: 1,
  softwareVersion: 'v1',
  coldRemainingMs: 0,
};
const COORDINATOR = toId<HostId>('coordinator');
const OTHER = toId<HostId>('other');

/** A host's rate limiter with its directory. */
class RateLimiterHost {
  readonly directory: Directory;

  readonly rateLimiter: SendRateLimiter;

  readonly #clock: ManualClock;

  constructor(clock: ManualClock, hostId: HostId) {
    this.#clock = clock;
    this.directory = new Directory(clock);
    this.rateLimiter = new SendRateLimiter({
      clock,
      hostId,
      directory: this.directory,
      coordinators: new LimitCoordinators({
        clock,
        hostId,
        directory: this.directory,
        isRegistered: () => true,
        logger: pino({ level: 'silent' }),
      }),
    });
    this.directory.apply({ kind: 'upstream', entry: UPSTREAM });
    this.directory.apply(createHostChange(COORDINATOR, { registeredRevision: 1 }));
    this.directory.apply(createHostChange(OTHER, { registeredRevision: 2 }));
  }

  advertise(requestsPerSecond: number | null): void {
    const nowMs = this.#clock.getMonotonicMs();
    this.directory.apply({
      kind: 'upstreamLimit',
      advertisedLimit: {
        lifetime: UPSTREAM, requestsPerSecond, requestSentAtMs: nowMs, receivedAtMs: nowMs,
      },
      source: { kind: 'answer', requestId: 'r', status: 200 },
    });
  }
}

describe('SendRateLimiter', () => {
  let clock: ManualClock;
  let coordinator: RateLimiterHost;
  let other: RateLimiterHost;

  beforeEach(async () => {
    clock = new ManualClock();
    coordinator = new RateLimiterHost(clock, COORDINATOR);
    other = new RateLimiterHost(clock, OTHER);
    await Promise.resolve();
    clock.advance(TAKEOVER_DELAY_MS);
    [coordinator, other].forEach(({ directory }) => directory.recordConfirmation());
  });

  function requestPermit(maxWaitMs = 0): ReturnType<SendRateLimiter['decide']> {
    return coordinator.rateLimiter.decide({
      hostId: OTHER,
      upstreamIds: [UPSTREAM.id],
      maxWaitMs,
      reports: other.rateLimiter.createReports(POOL_ID),
    });
  }

  it('needs no permit for an upstream that advertises no limit', () => {
    equal(other.rateLimiter.isLimited(UPSTREAM), false);
    ok(Array.from({ length: 100 }).every(() => other.rateLimiter.tryTakePermit(UPSTREAM)));
    equal(requestPermit().decision.kind, 'granted');
  });

  it('learns a limit from the reports of a permit request', () => {
    other.advertise(2);
    equal(requestPermit().decision.kind, 'denied');
    equal(coordinator.rateLimiter.isLimited(UPSTREAM), true);
    equal(requestPermit(600).decision.kind, 'granted');
  });

  it('reports a limit and its end to the requesting host', () => {
    coordinator.advertise(1);
    other.rateLimiter.applyReports(requestPermit().reports, COORDINATOR);
    equal(other.rateLimiter.isLimited(UPSTREAM), true);
    clock.advance(10);
    coordinator.advertise(null);
    other.rateLimiter.applyReports(requestPermit().reports, COORDINATOR);
    equal(other.rateLimiter.isLimited(UPSTREAM), false);
  });

  it('ignores a reported limit that has ended since', () => {
    [coordinator, other].forEach((host) => host.advertise(1));
    clock.advance(10);
    coordinator.advertise(null);
    clock.advance(1_000);
    requestPermit();
    equal(coordinator.rateLimiter.isLimited(UPSTREAM), false);
  });

  it('issues shared permits on the coordinator only', () => {
    [coordinator, other].forEach((host) => host.advertise(1));
    clock.advance(60_000);
    coordinator.directory.recordConfirmation();
    equal(other.rateLimiter.canTakeSharedPermit(UPSTREAM), false);
    equal(other.rateLimiter.decide({
      hostId: COORDINATOR, upstreamIds: [UPSTREAM.id], maxWaitMs: 0, reports: [],
    }).decision.kind, 'notKept');
    // The first query of a limit starts its schedule.
    equal(coordinator.rateLimiter.canTakeSharedPermit(UPSTREAM), false);
    clock.advance(1_000);
    equal(coordinator.rateLimiter.canTakeSharedPermit(UPSTREAM), true);
  });

  it('deducts the reserve sends of other hosts from the shared permits', () => {
    [coordinator, other].forEach((host) => host.advertise(1));
    equal(requestPermit().decision.kind, 'denied');
    equal(other.rateLimiter.tryTakeReserve(UPSTREAM), true);
    equal(other.rateLimiter.tryTakeReserve(UPSTREAM), false);
    requestPermit();
    clock.advance(1_500);
    equal(requestPermit().decision.kind, 'denied');
    clock.advance(500);
    equal(requestPermit().decision.kind, 'granted');
  });

  it('denies permits with a retry time when the limit is 0', () => {
    coordinator.advertise(0);
    const { decision } = requestPermit(5_000);
    ok(decision.kind === 'denied');
    equal(decision.retryAfterMs, 4_000);
  });
});
