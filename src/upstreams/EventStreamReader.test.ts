import { deepEqual, equal } from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { describe, it } from 'node:test';
import type { ReadOutcome } from './AnswerReader.ts';
import { EventStreamReader } from './EventStreamReader.ts';

const TEXT = 'né à Kol Nidré';
const DIGEST = createHash('sha256').update(TEXT).digest('hex');
const END = {
  isEnd: true, lengthUnits: TEXT.length, digest: DIGEST, costMicros: 5,
};

function createEvent(fields: object): string {
  const event = { attemptId: 'attempt-1', incarnation: 'incarnation-1', ...fields };
  return `data: ${JSON.stringify(event)}\n\n`;
}

function read(bytes: Buffer, chunkBytes: number): { text: string; outcome: ReadOutcome } {
  let text = '';
  const reader = new EventStreamReader('attempt-1', (_incarnation, offset, part) => {
    equal(offset, text.length);
    text += part;
  });
  let outcome: ReadOutcome | null = null;
  for (let start = 0; start < bytes.length && outcome === null; start += chunkBytes) {
    outcome = reader.addChunk(bytes.subarray(start, start + chunkBytes));
  }
  return { text, outcome: outcome ?? reader.end() };
}

const FIRST = { offset: 0, text: TEXT.slice(0, 5) };
const SECOND = { offset: 5, text: TEXT.slice(5) };
const UNUSABLE_CASES: readonly (readonly [string, readonly object[]])[] = [
  ['has a gap', [FIRST, { ...SECOND, offset: 6 }, END]],
  ['lacks its end mark', [FIRST, SECOND]],
  ['lacks a part', [FIRST, END]],
  ['has another digest', [FIRST, SECOND, { ...END, digest: '0' }]],
  ['has another length', [FIRST, SECOND, { ...END, lengthUnits: 1 }]],
  ['has a part without offset', [{ text: 'x' }, END]],
];

describe('EventStreamReader', () => {
  [1, 3, 1000].forEach((chunkBytes) => {
    it(`reads a stream in chunks of ${chunkBytes} bytes`, () => {
      const events = [FIRST, SECOND, END].map(createEvent).join('');
      const { text, outcome } = read(Buffer.from(events), chunkBytes);
      equal(text, TEXT);
      deepEqual(outcome, {
        kind: 'result', upstreamIncarnation: 'incarnation-1', output: TEXT, costMicros: 5,
      });
    });
  });

  it('drops repeated and overlapping events and those of other attempts and processes', () => {
    const events = [
      FIRST, { ...FIRST, attemptId: 'attempt-2' }, FIRST, { ...FIRST, incarnation: 'other' },
      { offset: 0, text: TEXT }, SECOND, END,
    ].map(createEvent).join('');
    const { text, outcome } = read(Buffer.from(`: comment\n\n${events}`), 1000);
    equal(text, TEXT);
    equal(outcome.kind, 'result');
  });

  UNUSABLE_CASES.forEach(([name, events]) => {
    it(`rejects a stream that ${name}`, () => {
      const { outcome } = read(Buffer.from(events.map(createEvent).join('')), 1000);
      equal(outcome.kind, 'unusable');
    });
  });

  it('rejects a stream that is not JSON', () => {
    equal(read(Buffer.from('data: {\n\n'), 1000).outcome.kind, 'unusable');
  });
});
