import { deepEqual, equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { IndexedHeap } from './IndexedHeap.ts';

describe('IndexedHeap', () => {
  it('gives items in order, after moves and removals', () => {
    const values = fc.array(fc.record({ order: fc.nat(50), next: fc.nat(50), fate: fc.nat(2) }));
    fc.assert(fc.property(values, (drawn) => {
      const items = drawn.map((each) => ({ ...each }));
      const heap = new IndexedHeap<{ order: number }>((left, right) => left.order - right.order);
      items.forEach((item) => heap.push(item));
      items.filter((item) => item.fate === 1).forEach((item) => equal(heap.remove(item), true));
      items.filter((item) => item.fate === 2).forEach((item) => {
        Object.assign(item, { order: item.next });
        heap.push(item);
      });
      const kept = items.filter((item) => item.fate !== 1).map((item) => item.order);
      const taken = Array.from({ length: heap.size }, () => heap.pop()?.order);
      deepEqual(taken, kept.sort((left, right) => left - right));
      equal(heap.pop(), undefined);
    }), { seed: 4, numRuns: 300 });
  });
});
