import { equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { KnownUpstream } from '../directory/Directory.ts';
import { toId, type PoolId, type UpstreamId } from '../lib/ids.ts';
import { ManualClock } from '../time/ManualClock.ts';
import { UpstreamStateTable } from './UpstreamStateTable.ts';

const MAX_SILENCE_MS = 300;
const WORK_MS = 40;
const GAP_MS = 20;

function createUpstream(id: string, failureDomain: string): KnownUpstream {
  return {
    entry: {
      id: toId<UpstreamId>(id),
      poolId: toId<PoolId>('pool'),
      address: `${id}:1`,
      failureDomain,
      isDraining: false,
      slots: 6,
      coldRemainingMs: 0,
      startedAtMs: 1,
    },
    coldUntilMs: 0,
  };
}

const UPSTREAMS = [createUpstream('near', 'a'), createUpstream('far', 'b')];

/** Sends at an even pace while `near` is silent; returns how many of the sends went there. */
function countSilentSends(patienceMs: number, durationMs: number): number {
  const clock = new ManualClock();
  const book = new UpstreamStateTable(clock, 'a');
  const dueMs: { readonly atMs: number; readonly id: UpstreamId }[] = [];
  let silentCount = 0;
  for (let nowMs = 0; nowMs < durationMs; nowMs += GAP_MS) {
    while ((dueMs[0]?.atMs ?? Infinity) <= nowMs) {
      const due = dueMs.shift();
      if (due !== undefined) {
        book.recordAnswer(due.id, null);
        book.recordEnd(due.id, 'good');
      }
    }
    const chosen = book.choose(UPSTREAMS, patienceMs);
    if (chosen !== null) {
      book.recordSend(chosen.entry.id);
      if (chosen.entry.id === 'near') {
        silentCount += 1;
      } else {
        dueMs.push({ atMs: nowMs + WORK_MS, id: chosen.entry.id });
      }
    }
    clock.advance(GAP_MS);
  }
  return silentCount;
}

describe('UpstreamBook', () => {
  it('passes over an upstream that has gone silent while others answer', () => {
    const withoutPatience = countSilentSends(MAX_SILENCE_MS, 2_000);
    equal(withoutPatience, countSilentSends(MAX_SILENCE_MS, 6_000));
    equal(withoutPatience <= MAX_SILENCE_MS / GAP_MS, true);
  });

  it('goes on sending to one that is busy but answers', () => {
    const clock = new ManualClock();
    const book = new UpstreamStateTable(clock, 'a');
    const { id } = UPSTREAMS[0]?.entry ?? { id: toId<UpstreamId>('') };
    Array.from({ length: 20 }, () => {
      book.recordSend(id);
      clock.advance(MAX_SILENCE_MS - 1);
      book.recordAnswer(id, null);
      return book.recordEnd(id, 'good');
    });
    equal(book.choose(UPSTREAMS, MAX_SILENCE_MS)?.entry.id, id);
  });

  it('avoids an upstream for a while that was silent until a deadline', () => {
    const clock = new ManualClock();
    const book = new UpstreamStateTable(clock, 'a');
    const { id } = UPSTREAMS[0]?.entry ?? { id: toId<UpstreamId>('') };
    book.recordSend(id);
    book.recordSilence(id);
    book.recordEnd(id, 'dropped');
    equal(book.choose(UPSTREAMS, MAX_SILENCE_MS)?.entry.id, 'far');
    clock.advance(1_000);
    equal(book.choose(UPSTREAMS, MAX_SILENCE_MS)?.entry.id, id);
  });
});
