import { equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { toId, type UpstreamId } from '../lib/ids.ts';
import { chooseEngine, type EngineDemand } from './chooseEngine.ts';
import { EngineTable } from './EngineTable.ts';

const SHARED = { id: 'shared', tokens: 3_000 };
const OWN = { id: 'own', tokens: 500 };
const BOUNDS = { slots: 64, memoryTokens: 100_000 };
const KEEPER = toId<UpstreamId>('keeper');
const IDLE = toId<UpstreamId>('idle');

/** Chooses between a busy engine that caches the shared part and an idle engine. */
function choose(waitingTokens: number, demand: Partial<EngineDemand> = {}): UpstreamId | null {
  const table = new EngineTable();
  const { memoryTokens } = BOUNDS;
  table.place(KEEPER, 'before', [SHARED], SHARED.tokens, memoryTokens);
  table.recordEnded(KEEPER, 'before');
  table.place(KEEPER, 'waiting', [{ id: 'w', tokens: waitingTokens }], 1, memoryTokens);
  return chooseEngine(
    [KEEPER, IDLE].map((id) => ({ engine: table.get(id), failureDomain: 'a' })),
    {
      parts: [SHARED, OWN],
      promptTokens: SHARED.tokens + OWN.tokens,
      memoryTokens: 4_000,
      inputBytes: new Map(),
      ...demand,
    },
    BOUNDS,
  );
}

describe('chooseEngine', () => {
  it('prefers the engine that caches the prompt while its prefill queue is short', () => {
    equal(choose(0), KEEPER);
    equal(choose(SHARED.tokens * 1.5), KEEPER);
  });

  it('chooses an idle engine when repeating the prefill there is faster than the queue', () => {
    equal(choose(SHARED.tokens * 2.5), IDLE);
  });

  it('skips an engine without enough memory', () => {
    equal(choose(0, { memoryTokens: BOUNDS.memoryTokens }), IDLE);
  });
});
