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
  coldRemainingMs: 0,
};
const KEEPER = toId<HostId>('keeper');
const OTHER = toId<HostId>('other');

/** A host's rates, and the directory that they look at. */
class RatesRig {
  readonly directory: Directory;

  readonly rates: SendRateLimiter;

  readonly #clock: ManualClock;

  constructor(clock: ManualClock, hostId: HostId) {
    this.#clock = clock;
    this.directory = new Directory(clock);
    this.rates = new SendRateLimiter({
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
    this.directory.apply(createHostChange(KEEPER, { registeredRevision: 1 }));
    this.directory.apply(createHostChange(OTHER, { registeredRevision: 2 }));
  }

  hear(requestsPerSecond: number | null): void {
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

describe('SendRates', () => {
  let clock: ManualClock;
  let keeper: RatesRig;
  let other: RatesRig;

  beforeEach(async () => {
    clock = new ManualClock();
    keeper = new RatesRig(clock, KEEPER);
    other = new RatesRig(clock, OTHER);
    await Promise.resolve();
    clock.advance(TAKEOVER_DELAY_MS);
    [keeper, other].forEach(({ directory }) => directory.recordConfirmation());
  });

  function ask(maxWaitMs = 0): ReturnType<SendRateLimiter['decide']> {
    return keeper.rates.decide({
      hostId: OTHER,
      upstreamIds: [UPSTREAM.id],
      maxWaitMs,
      reports: other.rates.createReports(POOL_ID),
    });
  }

  it('needs no leave for an upstream that names no limit', () => {
    equal(other.rates.isLimited(UPSTREAM), false);
    ok(Array.from({ length: 100 }).every(() => other.rates.tryTakePermit(UPSTREAM)));
    equal(ask().decision.kind, 'granted');
  });

  it('learns a limit from the host that asks', () => {
    other.hear(2);
    equal(ask().decision.kind, 'denied');
    equal(keeper.rates.isLimited(UPSTREAM), true);
    equal(ask(600).decision.kind, 'granted');
  });

  it('tells the host that asks of a limit, and of its end', () => {
    keeper.hear(1);
    other.rates.applyReports(ask().reports, KEEPER);
    equal(other.rates.isLimited(UPSTREAM), true);
    clock.advance(10);
    keeper.hear(null);
    other.rates.applyReports(ask().reports, KEEPER);
    equal(other.rates.isLimited(UPSTREAM), false);
  });

  it('does not take a limit from a host that has not heard of its end', () => {
    [keeper, other].forEach((rig) => rig.hear(1));
    clock.advance(10);
    keeper.hear(null);
    clock.advance(1_000);
    ask();
    equal(keeper.rates.isLimited(UPSTREAM), false);
  });

  it('leaves it to the host that keeps the sum to hand out', () => {
    [keeper, other].forEach((rig) => rig.hear(1));
    clock.advance(60_000);
    keeper.directory.recordConfirmation();
    equal(other.rates.canTakeSharedPermit(UPSTREAM), false);
    equal(other.rates.decide({
      hostId: KEEPER, upstreamIds: [UPSTREAM.id], maxWaitMs: 0, reports: [],
    }).decision.kind, 'notKept');
    // The first look at a limit begins its schedule.
    equal(keeper.rates.canTakeSharedPermit(UPSTREAM), false);
    clock.advance(1_000);
    equal(keeper.rates.canTakeSharedPermit(UPSTREAM), true);
  });

  it('counts what hosts send without leave against what it hands out', () => {
    [keeper, other].forEach((rig) => rig.hear(1));
    equal(ask().decision.kind, 'denied');
    equal(other.rates.tryTakeReserve(UPSTREAM), true);
    equal(other.rates.tryTakeReserve(UPSTREAM), false);
    ask();
    clock.advance(1_500);
    equal(ask().decision.kind, 'denied');
    clock.advance(500);
    equal(ask().decision.kind, 'granted');
  });

  it('hands nothing out, and refuses with a time, where an upstream takes nothing', () => {
    keeper.hear(0);
    const { decision } = ask(5_000);
    ok(decision.kind === 'denied');
    equal(decision.retryAfterMs, 4_000);
  });
});
