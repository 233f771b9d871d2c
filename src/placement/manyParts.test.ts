import { ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { measureHeapGrowth } from '../../test/support/measureHeapGrowth.ts';
import { PlacementTestBed } from '../../test/support/PlacementTestBed.ts';

const PARTS_PER_PROMPT = 1_400;
const PROMPT_COUNT = 600;
const ENGINE_COUNT = 6;
const MAX_GROWTH_BYTES = 20_000_000;
const LARGE_ENGINE = { slots: 1_000, memoryTokens: 2_000_000 };

describe('prompts of many small parts', () => {
  it('take a bounded part of the memory of the host that places', () => {
    const bed = new PlacementTestBed({}, ENGINE_COUNT, undefined, undefined, LARGE_ENGINE);
    let placedCount = 0;
    const growthBytes = measureHeapGrowth(() => {
      for (let index = 0; index < PROMPT_COUNT; index += 1) {
        const requestId = `r${index}`;
        bed.place({
          requestId,
          promptTokens: PARTS_PER_PROMPT,
          parts: Array.from({ length: PARTS_PER_PROMPT }, (_, part) => ({
            id: `${requestId}-part-${part}`, tokens: 1,
          })),
        });
        placedCount += Number(bed.results.get(requestId)?.kind === 'placed');
      }
    });
    ok(placedCount > PROMPT_COUNT / 2, `${placedCount} placed`);
    ok(growthBytes < MAX_GROWTH_BYTES, `${growthBytes} bytes`);
  });
});
