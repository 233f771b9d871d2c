import { equal, ok } from 'node:assert/strict';
import { describe, it, mock } from 'node:test';
import { MAX_CACHED_PARTS } from '../../test/support/PlacementTestBed.ts';
import {
  PromptReplay, type PromptKind, type PromptOutcome,
} from '../../test/support/PromptReplay.ts';
import { toId, type UpstreamId } from '../lib/ids.ts';
import { EngineTable } from '../placement/EngineTable.ts';
import { PrefillLoads } from './PrefillLoads.ts';

const SEEDS = [1, 2];
const DURATION_MS = 8_000;
const ENGINE_COUNT = 4;
const ID = toId<UpstreamId>('engine');
const LONG_TOKENS = 9_000;
const SHORT_TOKENS = 700;

/** Long and short prompts of one class, which use nearly all that four engines can prefill. */
const KINDS: readonly PromptKind[] = [
  {
    name: 'long',
    perSecond: 36,
    priority: 0,
    targetMs: 1_000,
    sharedTokens: 6_300,
    variants: 20,
    ownTokens: 2_890,
    spread: 1,
    maxOwnTokens: 39_600,
    outputTokens: 56,
  },
  {
    name: 'middle',
    perSecond: 36,
    priority: 0,
    targetMs: 1_500,
    sharedTokens: 568,
    variants: 20,
    ownTokens: 1_800,
    spread: 1.2,
    maxOwnTokens: 6_870,
    outputTokens: 24,
  },
  {
    name: 'short',
    perSecond: 24,
    priority: 0,
    targetMs: 600,
    sharedTokens: 172,
    variants: 10,
    ownTokens: 543,
    spread: 0.9,
    maxOwnTokens: 2_310,
    outputTokens: 280,
  },
];

/** Returns the outcomes of each seed. */
function replay(): Map<string, PromptOutcome>[] {
  return SEEDS.map((seed) => new PromptReplay(KINDS, ENGINE_COUNT, seed).run(DURATION_MS));
}

/** Returns the outcomes of each seed if no prompt is held. */
function replayWithoutHolds(): Map<string, PromptOutcome>[] {
  const mocked = mock.method(PrefillLoads.prototype, 'isOpen', () => true);
  const outcomes = replay();
  mocked.mock.restore();
  return outcomes;
}

function getMean(
  outcomes: readonly Map<string, PromptOutcome>[],
  kind: string,
  what: keyof PromptOutcome,
): number {
  return outcomes.reduce((sum, outcome) => sum + (outcome.get(kind)?.[what] ?? 0), 0)
    / outcomes.length;
}

describe('long and short prompts on the same engines, nearly at capacity', () => {
  const [before, after] = [replayWithoutHolds(), replay()];

  it('keeps short prompts on time, many of which wait behind long ones otherwise', () => {
    const figures = [before, after].map((outcomes) => getMean(outcomes, 'short', 'onTime'));
    ok((figures[0] ?? 1) < 0.65 && (figures[1] ?? 0) > 0.85, String(figures));
  });

  it('keeps as many long prompts on time', () => {
    const figures = [before, after].map((outcomes) => getMean(outcomes, 'long', 'onTime'));
    ok((figures[1] ?? 0) >= (figures[0] ?? 1), String(figures));
  });

  (['largestTenth', 'fifthBelow'] as const).forEach((size) => {
    it(`starves neither size of long prompts: ${size}`, () => {
      ok(getMean(after, 'long', size) > getMean(after, 'long', 'onTime') / 2);
    });
  });
});

describe('PrefillLoads', () => {
  function createLoaded(): EngineTable {
    const table = new EngineTable(MAX_CACHED_PARTS);
    table.place(ID, 'waiting', [{ id: 'waiting', tokens: 20_000 }], 20_000, 100_000);
    return table;
  }

  it('holds a long prompt while much waits, and lets a short one pass', () => {
    const loads = new PrefillLoads();
    loads.recordPlaced(LONG_TOKENS, 0);
    loads.recordPlaced(SHORT_TOKENS, 0);
    const engine = createLoaded().get(ID);
    ok(!loads.isOpen(engine, { prefillTokens: LONG_TOKENS, onTimeAtMs: 500 }, 10));
    ok(loads.isOpen(engine, { prefillTokens: SHORT_TOKENS, onTimeAtMs: 500 }, 10));
  });

  it('holds no prompt that can\'t be on time any more, so that none starves', () => {
    const loads = new PrefillLoads();
    loads.recordPlaced(LONG_TOKENS, 0);
    loads.recordPlaced(SHORT_TOKENS, 0);
    const engine = createLoaded().get(ID);
    ok(loads.isOpen(engine, { prefillTokens: LONG_TOKENS, onTimeAtMs: 500 }, 500));
  });

  it('holds nothing where only long prompts occur', () => {
    const loads = new PrefillLoads();
    loads.recordPlaced(LONG_TOKENS, 0);
    ok(loads.isOpen(createLoaded().get(ID), { prefillTokens: LONG_TOKENS, onTimeAtMs: 500 }, 10));
  });

  it('counts no prompt as waiting whose first event has come', () => {
    const loads = new PrefillLoads();
    loads.recordPlaced(LONG_TOKENS, 0);
    loads.recordPlaced(SHORT_TOKENS, 0);
    const table = createLoaded();
    table.recordStarted(ID, 'waiting');
    equal(loads.isOpen(table.get(ID), { prefillTokens: LONG_TOKENS, onTimeAtMs: 500 }, 10), true);
  });
});
