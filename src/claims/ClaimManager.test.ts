import { strict as assert } from 'node:assert';
import { describe, it } from 'node:test';
import type { RequestAnswer } from '../answers/RequestAnswer.ts';
import { ClaimTestBed, type DeliveryOutcome } from '../../test/support/ClaimTestBed.ts';

const ANSWER: RequestAnswer = {
  kind: 'completed', output: 'seat 12', digest: 'd', costMicros: 5, stages: [],
};
const SETTLE_MS = 3000;
/** Time within which an outcome or a release is stored. */
const STORE_MS = 200;

describe('ClaimManager', () => {
  it('grants a new key only after the platform stored it', () => {
    const bed = new ClaimTestBed(1);
    const requestId = bed.request(0, 'k1');
    bed.advance(10);
    assert.deepEqual(bed.getEventKinds(requestId), []);
    bed.run(50);
    assert.deepEqual(bed.getEventKinds(requestId), ['granted']);
    assert.equal(bed.store.writeCount, 1);
  });

  it('writes many claims of a shard at once', () => {
    const bed = new ClaimTestBed(2, { shardCount: 1 });
    bed.setOwner(0);
    const ids = Array.from({ length: 100 }, (_, index) => bed.request(index % 2, `k${index}`));
    bed.run(50);
    ids.forEach((id) => assert.deepEqual(bed.getEventKinds(id), ['granted']));
    assert.ok(bed.store.writeCount <= 3, `${bed.store.writeCount} writes`);
  });

  it('gives a retry at another host the recorded answer', () => {
    const bed = new ClaimTestBed(2);
    const first = bed.request(0, 'k1');
    bed.run(50);
    bed.getHost(0).manager.recordOutcome(first, ANSWER);
    bed.run(STORE_MS);
    const second = bed.request(1, 'k1');
    bed.run(50);
    const event = bed.events.find(({ requestId }) => requestId === second);
    assert.ok(event?.kind === 'completedBefore');
    assert.deepEqual(event.answer, ANSWER);
  });

  it('keeps only the digest of a large answer', () => {
    const bed = new ClaimTestBed(2);
    const first = bed.request(0, 'k1');
    bed.run(50);
    bed.getHost(0).manager.recordOutcome(first, { ...ANSWER, output: 'x'.repeat(5000) });
    bed.run(STORE_MS);
    assert.deepEqual(bed.getEventKinds(bed.request(1, 'k1')), []);
    bed.run(50);
    assert.equal(bed.events.at(-1)?.kind, 'completedTooLarge');
  });

  it('tells a retry who runs the key, and after the claimer is gone that nobody knows', () => {
    const bed = new ClaimTestBed(2);
    bed.request(0, 'k1');
    bed.run(50);
    const waiting = bed.request(1, 'k1');
    bed.run(50);
    assert.deepEqual(bed.getEventKinds(waiting), ['runningElsewhere']);
    bed.getHost(1).manager.recordIncarnationGone(bed.getHost(0).context.self.incarnationId);
    const later = bed.request(1, 'k1');
    bed.run(50);
    assert.deepEqual(bed.getEventKinds(later), ['outcomeUnknown']);
  });

  it('refuses a key with another input', () => {
    const bed = new ClaimTestBed(2);
    bed.request(0, 'k1');
    bed.run(50);
    const other = bed.request(1, 'k1', 'other input');
    bed.run(50);
    assert.deepEqual(bed.getEventKinds(other), ['keyReused']);
  });

  it('lets a key run after its claim was released as not run', () => {
    const bed = new ClaimTestBed(2);
    const first = bed.request(0, 'k1');
    bed.run(50);
    bed.getHost(0).manager.releaseNotRun(first);
    bed.run(STORE_MS);
    const second = bed.request(1, 'k1');
    bed.run(50);
    assert.deepEqual(bed.getEventKinds(second), ['granted']);
  });

  it('refuses a dated key that is older than the retention', () => {
    const bed = new ClaimTestBed(1, { getWallMs: () => 1_800_000_000_000 });
    const old = bed.request(0, '018bcfe5-6800-7000-8000-000000000000');
    bed.run(20);
    assert.deepEqual(bed.getEventKinds(old), ['outcomeUnknown']);
  });

  it('keeps values bounded and keys claimed over many buckets', () => {
    const bed = new ClaimTestBed(2, { shardCount: 1, maxBucketClaims: 8 });
    const ids = Array.from({ length: 50 }, (_, index) => bed.request(0, `k${index}`));
    bed.run(500);
    ids.forEach((id) => assert.deepEqual(bed.getEventKinds(id), ['granted']));
    const again = Array.from({ length: 50 }, (_, index) => bed.request(1, `k${index}`));
    bed.run(500);
    again.forEach((id) => assert.deepEqual(bed.getEventKinds(id), ['runningElsewhere']));
  });

  it('reuses platform values after the retention and refuses when all are in use', () => {
    const bed = new ClaimTestBed(1, {
      shardCount: 1, maxBucketClaims: 2, slotCount: 3, retentionMs: 5000,
    });
    const first = Array.from({ length: 8 }, (_, index) => bed.request(0, `a${index}`));
    bed.run(2000);
    const kinds = first.flatMap((id) => bed.getEventKinds(id));
    assert.equal(kinds.filter((kind) => kind === 'granted').length, 6);
    assert.equal(kinds.filter((kind) => kind === 'unavailable').length, 2);
    bed.run(6000);
    const later = bed.request(0, 'b1');
    bed.run(200);
    assert.deepEqual(bed.getEventKinds(later), ['granted']);
    assert.ok(bed.store.getKeys().length <= 4);
  });
});

interface FaultCase {
  readonly fault: string;
  readonly fate: DeliveryOutcome;
  /** Platform calls let through before the fault. */
  readonly after: number;
  /** Calls that meet the fault. */
  readonly count: number;
  readonly expected: string;
}

const LAST_STEP = 3;
const FAULT_CASES: readonly FaultCase[] = (['loseAnswer', 'delayEffect', 'refuse'] as const)
  .flatMap((fate) => Array.from({ length: LAST_STEP }, (_, after) => [
    {
      fault: `${fate} once at call ${after}`, fate, after, count: 1, expected: 'granted',
    },
    {
      fault: `${fate} from call ${after} on`, fate, after, count: 1000, expected: 'unavailable',
    },
  ]).flat())
  // The claim needs three calls: head, bucket and swap; a fault after them comes too late.
  .filter(({ after }) => after < LAST_STEP);

describe('ClaimManager under platform faults', () => {
  FAULT_CASES.forEach(({
    fault, fate, after, count, expected,
  }) => {
    it(`answers once and never grants twice: ${fault}`, () => {
      const bed = new ClaimTestBed(2, { shardCount: 1 });
      const first = bed.request(0, 'k1');
      let seen = 0;
      const endMs = bed.clock.getMonotonicMs() + SETTLE_MS;
      while (bed.clock.getMonotonicMs() < endMs) {
        let index = bed.inFlight.findIndex(({ kind }) => kind !== 'strayCall');
        while (index >= 0) {
          const isCall = bed.inFlight[index]?.kind === 'call';
          const isFaulty = isCall && seen >= after && seen < after + count;
          seen += isCall ? 1 : 0;
          bed.settle(index, isFaulty ? fate : 'deliver');
          index = bed.inFlight.findIndex(({ kind }) => kind !== 'strayCall');
        }
        bed.advance(1);
      }
      assert.deepEqual(bed.getEventKinds(first), [expected]);
      bed.run(SETTLE_MS);
      const second = bed.request(1, 'k1');
      bed.run(SETTLE_MS);
      const wanted = expected === 'granted' ? 'runningElsewhere' : 'granted';
      assert.deepEqual(bed.getEventKinds(second), [wanted]);
    });
  });

  it('does not call a key unused during an outage', () => {
    const bed = new ClaimTestBed(1);
    const id = bed.request(0, 'k1');
    bed.run(2000, [], 'refuse');
    const event = bed.events.find(({ requestId }) => requestId === id);
    assert.ok(event?.kind === 'unavailable');
    assert.equal(event.isKeyHistoryKnown, false);
  });

  it('refuses further claims at once while the outage lasts', () => {
    const bed = new ClaimTestBed(1, { shardCount: 1 });
    bed.request(0, 'k1');
    bed.run(500, [], 'refuse');
    const second = bed.request(0, 'k2');
    bed.run(5, [], 'refuse');
    assert.deepEqual(bed.getEventKinds(second), ['unavailable']);
  });
});

describe('ClaimManager with shard owners', () => {
  it('writes for itself when the owner does not answer', () => {
    const bed = new ClaimTestBed(2);
    bed.setOwner(0);
    const id = bed.request(1, 'k1');
    bed.run(500, [0]);
    assert.deepEqual(bed.getEventKinds(id), ['granted']);
  });

  it('gives one grant when the paused owner wakes and writes the same claim late', () => {
    const bed = new ClaimTestBed(3);
    bed.setOwner(0);
    const mine = bed.request(1, 'k1');
    const others = bed.request(2, 'k1');
    bed.run(500, [0]);
    bed.run(SETTLE_MS);
    const kinds = [...bed.getEventKinds(mine), ...bed.getEventKinds(others)].sort();
    assert.deepEqual(kinds, ['granted', 'runningElsewhere']);
  });

  it('gives one grant when two hosts own the shard', () => {
    const bed = new ClaimTestBed(4);
    bed.setOwner(0, [0, 2]);
    bed.setOwner(1, [1, 3]);
    const ids = [bed.request(2, 'k1'), bed.request(3, 'k1'), bed.request(0, 'k1')];
    bed.run(SETTLE_MS);
    const kinds = ids.flatMap((id) => bed.getEventKinds(id));
    assert.equal(kinds.filter((kind) => kind === 'granted').length, 1);
    assert.equal(kinds.length, 3);
  });

  it('gives one grant when the owner moves while its write is under way', () => {
    const bed = new ClaimTestBed(3);
    bed.setOwner(0);
    const first = bed.request(1, 'k1');
    bed.settle(0, 'deliver');
    bed.run(20, [1, 2]);
    bed.setOwner(2);
    const second = bed.request(1, 'k1');
    bed.run(SETTLE_MS);
    const kinds = [...bed.getEventKinds(first), ...bed.getEventKinds(second)].sort();
    assert.deepEqual(kinds, ['granted', 'runningElsewhere']);
  });

  it('releases a grant whose reply came after the request was refused', () => {
    const bed = new ClaimTestBed(2);
    bed.setOwner(0);
    const first = bed.request(1, 'k1');
    // The ask is held back while everything host 1 tries by itself is refused.
    const ask = bed.inFlight.splice(0, 1);
    bed.run(2000, [], 'refuse');
    assert.deepEqual(bed.getEventKinds(first), ['unavailable']);
    bed.inFlight.push(...ask);
    bed.run(SETTLE_MS);
    const second = bed.request(0, 'k1');
    bed.run(SETTLE_MS);
    assert.deepEqual(bed.getEventKinds(second), ['granted']);
  });

  it('grants once when replies are repeated', () => {
    const bed = new ClaimTestBed(2);
    bed.setOwner(0);
    const id = bed.request(1, 'k1');
    for (let step = 0; step < 40; step += 1) {
      bed.settle(0, step % 2 === 0 ? 'duplicate' : 'deliver');
      bed.advance(1);
    }
    bed.run(SETTLE_MS);
    assert.deepEqual(bed.getEventKinds(id), ['granted']);
  });
});

describe('ClaimManager with tickets', () => {
  const createTicket = (bed: ClaimTestBed, host: number): string => (
    bed.getHost(host).manager.createTicket('account' as never)
  );

  it('grants a ticket without the platform, and once', () => {
    const bed = new ClaimTestBed(1);
    const ticket = createTicket(bed, 0);
    const first = bed.request(0, ticket);
    const second = bed.request(0, ticket);
    assert.deepEqual(bed.getEventKinds(first), ['granted']);
    assert.deepEqual(bed.getEventKinds(second), ['runningElsewhere']);
    assert.equal(bed.store.callCount, 0);
  });

  it('asks the minting host when a ticket comes in elsewhere', () => {
    const bed = new ClaimTestBed(3);
    bed.setOwner(null);
    const ticket = createTicket(bed, 0);
    const ids = [bed.request(1, ticket), bed.request(2, ticket), bed.request(0, ticket)];
    bed.run(50);
    const kinds = ids.flatMap((id) => bed.getEventKinds(id)).sort();
    assert.deepEqual(kinds, ['granted', 'runningElsewhere', 'runningElsewhere']);
    assert.equal(bed.store.callCount, 0);
  });

  it('answers outcome unknown when the minting host is gone or silent', () => {
    const bed = new ClaimTestBed(2);
    bed.setOwner(null);
    const ticket = createTicket(bed, 0);
    const silent = bed.request(1, ticket);
    bed.run(SETTLE_MS, [0]);
    assert.deepEqual(bed.getEventKinds(silent), ['outcomeUnknown']);
    bed.getHost(1).manager.recordIncarnationGone(bed.getHost(0).context.self.incarnationId);
    assert.deepEqual(bed.getEventKinds(bed.request(1, ticket)), ['outcomeUnknown']);
  });

  it('refuses a forged ticket and one of another account', () => {
    const bed = new ClaimTestBed(1);
    const ticket = createTicket(bed, 0);
    const forged = `${ticket.slice(0, -1)}${ticket.endsWith('0') ? '1' : '0'}`;
    const strange = bed.getHost(0).manager.createTicket('another account' as never);
    [forged, strange].forEach((key) => {
      assert.deepEqual(bed.getEventKinds(bed.request(0, key)), ['unavailable']);
    });
  });

  it('refuses a ticket after its lifetime, as outcome unknown', () => {
    const bed = new ClaimTestBed(1, { ticketLifetimeMs: 1000 });
    const ticket = createTicket(bed, 0);
    bed.request(0, ticket);
    bed.advance(1000);
    assert.deepEqual(bed.getEventKinds(bed.request(0, ticket)), ['outcomeUnknown']);
  });
});
