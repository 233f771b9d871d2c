import { deepEqual, equal } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { EventSequence } from './EventSequence.ts';
import type { StreamEvent } from './EventSplitter.ts';

function createEvent(id: number | null): StreamEvent {
  return { bytes: Buffer.alloc(0), id };
}

function getKinds(sequence: EventSequence, ids: readonly (number | null)[]): string[] {
  return ids.map((id) => sequence.accept(createEvent(id)).kind);
}

describe('EventSequence', () => {
  it('forwards each event once across attempts, without a gap', () => {
    const sequence = new EventSequence(null, 0);
    deepEqual(getKinds(sequence, [1, 2, 3]), ['forward', 'forward', 'forward']);
    sequence.startAttempt();
    deepEqual(getKinds(sequence, [2, 3, 4]), ['skip', 'skip', 'forward']);
    equal(sequence.lastEventId, 4);
    deepEqual(getKinds(sequence, [6]), ['abort']);
    equal(sequence.lastEventId, 4);
  });

  it('continues after the event that the caller has', () => {
    const sequence = new EventSequence(7, 0);
    deepEqual(getKinds(sequence, [7, 8]), ['skip', 'forward']);
  });

  it('forwards events without ids', () => {
    const sequence = new EventSequence(null, 0);
    deepEqual(getKinds(sequence, [null, null]), ['forward', 'forward']);
    equal(sequence.lastEventId, null);
  });

  it('aborts an attempt with more events than the request has tokens', () => {
    const sequence = new EventSequence(null, 1);
    const ids = Array.from({ length: 66 }, () => null);
    equal(getKinds(sequence, ids).indexOf('abort'), 65);
    sequence.startAttempt();
    deepEqual(getKinds(sequence, [null]), ['forward']);
  });
});
