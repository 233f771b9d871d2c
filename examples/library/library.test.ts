import { deepEqual, equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { bookCosts } from './bookCosts.ts';
import { boundRetries } from './boundRetries.ts';
import { detectRise } from './detectRise.ts';
import { holdLease } from './holdLease.ts';
import { shareQueue } from './shareQueue.ts';

describe('library examples', () => {
  it('acquires a lease', () => equal(holdLease(), 1));

  it('serves a small account early', () => {
    ok(shareQueue().indexOf('small') <= 1);
    deepEqual(shareQueue().filter((name) => name === 'large').length, 4);
  });

  it('detects a rise of the error rate within 3 ticks', () => ok(detectRise() <= 3));

  it('books the cost of an attempt once', () => equal(bookCosts(), 660));

  it('limits retries to a tenth of the first attempts', () => ok(boundRetries() <= 10));
});
