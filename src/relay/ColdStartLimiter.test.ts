import { ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { toId, type UpstreamId } from '../lib/ids.ts';
import { SeededRandomSource } from '../lib/SeededRandomSource.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { ColdStartLimiter } from './ColdStartLimiter.ts';

const ID = toId<UpstreamId>('u');

describe('ColdPacer', () => {
  it('keeps the sum of all hosts under the bound in every second, without any word', () => {
    const clock = new ManualClock();
    const random = new SeededRandomSource(1);
    const share = 2;
    const hosts = Array.from({ length: 8 }, () => new ColdStartLimiter(clock));
    const sends: number[] = [];
    for (let step = 0; step < 2_000; step += 1) {
      clock.advance(7);
      hosts.forEach((host) => {
        if (random.getFraction() < 0.3 && host.getWaitMs(ID, share) === 0) {
          host.recordSend(ID);
          sends.push(clock.getMonotonicMs());
        }
      });
    }
    const most = Math.max(...sends.map((startMs) => sends
      .filter((sentMs) => sentMs >= startMs && sentMs < startMs + 1_000).length));
    ok(most <= share * hosts.length, `${most} sends within a second`);
    ok(sends.length > 8 * share * 10, 'the share is used');
  });
});
