import { equal, ok, throws } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { bindToEra, getEra, getUnbound } from './EraBound.ts';

describe('EraBound', () => {
  it('returns the era and the value that it was made from', () => {
    [[0, 0], [0, 7], [3, 2 ** 36 - 1], [100_000, 12]].forEach(([era = 0, value = 0]) => {
      const bound = bindToEra(era, value);
      equal(getEra(bound), era);
      equal(getUnbound(bound), value);
    });
  });

  it('orders by era first, and keeps equal numbers of two eras apart', () => {
    ok(bindToEra(2, 1) > bindToEra(1, 2 ** 36 - 1));
    ok(bindToEra(1, 7) !== bindToEra(2, 7));
  });

  it('refuses values that it cannot hold', () => {
    [[1, -1], [1, 2 ** 36], [2 ** 18, 1], [-1, 1]].forEach(([era = 0, value = 0]) => {
      throws(() => bindToEra(era, value), RangeError);
    });
  });
});
