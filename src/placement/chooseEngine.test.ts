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

/** Chooses between one that keeps the shared part and has work, and one that is idle. */
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
  it('stays with the engine that keeps the prompt while little more waits there', () => {
    equal(choose(0), KEEPER);
    equal(choose(SHARED.tokens * 1.5), KEEPER);
  });

  it('goes to an idle engine when reading again is the shorter wait', () => {
    equal(choose(SHARED.tokens * 2.5), IDLE);
  });

  it('passes over engines without a slot or without memory', () => {
    equal(choose(0, { memoryTokens: BOUNDS.memoryTokens }), IDLE);
  });
});
