import { equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MAX_CACHED_PARTS } from '../../test/support/PlacementTestBed.ts';
import { toId, type UpstreamId } from '../lib/ids.ts';
import { chooseEngine } from './chooseEngine.ts';
import { EngineTable } from './EngineTable.ts';

const SHARED = { id: 'shared', tokens: 3_000 };
const OWN = { id: 'own', tokens: 500 };
const MEMORY_TOKENS = 100_000;
const KEEPER = toId<UpstreamId>('keeper');
const IDLE = toId<UpstreamId>('idle');

/** Chooses between a busy engine that caches the shared part and an idle engine. */
function choose(waitingTokens: number): UpstreamId | null {
  const table = new EngineTable(MAX_CACHED_PARTS);
  table.place(KEEPER, 'before', [SHARED], SHARED.tokens, MEMORY_TOKENS);
  table.recordEnded(KEEPER, 'before');
  table.place(KEEPER, 'waiting', [{ id: 'w', tokens: waitingTokens }], 1, MEMORY_TOKENS);
  return chooseEngine(
    [KEEPER, IDLE].map((id) => ({ engine: table.get(id), failureDomain: 'a', workTimeFactor: 1 })),
    {
      parts: [SHARED, OWN],
      promptTokens: SHARED.tokens + OWN.tokens,
      inputBytes: new Map(),
    },
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
});
