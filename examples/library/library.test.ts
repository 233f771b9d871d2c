import { deepEqual, equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { bookCosts } from './bookCosts.ts';
import { boundRetries } from './boundRetries.ts';
import { detectRise } from './detectRise.ts';
import { holdLease } from './holdLease.ts';
import { shareQueue } from './shareQueue.ts';

describe('the examples of the library', () => {
  it('hold a lease', () => equal(holdLease(), 1));

  it('serve a small account early', () => {
    ok(shareQueue().indexOf('small') <= 1);
    deepEqual(shareQueue().filter((name) => name === 'large').length, 4);
  });

  it('detect a rise within a few ticks', () => ok(detectRise() <= 3));

  it('book an attempt once', () => equal(bookCosts(), 660));

  it('bound retries to a tenth', () => ok(boundRetries() <= 10));
});
