import { deepEqual, equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { IndexedHeap } from './IndexedHeap.ts';

describe('IndexedHeap', () => {
  it('returns items in order after moves and removals', () => {
    const values = fc.array(fc.record({ order: fc.nat(50), next: fc.nat(50), action: fc.nat(2) }));
    fc.assert(fc.property(values, (generated) => {
      const items = generated.map((each) => ({ ...each }));
      const heap = new IndexedHeap<{ order: number }>((left, right) => left.order - right.order);
      items.forEach((item) => heap.push(item));
      items.filter((item) => item.action === 1).forEach((item) => equal(heap.remove(item), true));
      items.filter((item) => item.action === 2).forEach((item) => {
        Object.assign(item, { order: item.next });
        heap.push(item);
      });
      const kept = items.filter((item) => item.action !== 1).map((item) => item.order);
      const popped = Array.from({ length: heap.size }, () => heap.pop()?.order);
      deepEqual(popped, kept.sort((left, right) => left - right));
      equal(heap.pop(), undefined);
    }), { seed: 4, numRuns: 300 });
  });
});
