import { equal, ok } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { explainFromLogs } from './explainFromLogs.ts';
import { parseLogLine, type LogLine } from './LogLine.ts';

const START_MS = 1_000_000;

function createLine(
  source: string,
  afterMs: number,
  fields: Readonly<Record<string, unknown>>,
): LogLine {
  const line = parseLogLine(JSON.stringify({
    level: 30, time: START_MS + afterMs, msg: 'text', ...fields,
  }), source);
  ok(line);
  return line;
}

function relay(source: string, afterMs: number, outcome: string, details: object = {}): LogLine {
  return createLine(source, afterMs, {
    event: 'relay', requestId: 'r', outcome, ...details,
  });
}

const REFUSED_BY_COORDINATOR = createLine('b.log', 5, {
  event: 'placementRefused', requestId: 'r', leastMs: 900, remainingMs: 500,
});

describe('explainFromLogs', () => {
  it('returns the line of the placement coordinator for a request refused under load', () => {
    const found = explainFromLogs('r', [relay('a.log', 7, 'too-late'), REFUSED_BY_COORDINATOR]);
    equal(found.outcome, 'too-late');
    equal(found.decidingLine, REFUSED_BY_COORDINATOR);
  });

  it('distinguishes a timeout before an engine was chosen from one at an engine', () => {
    const inStages = explainFromLogs('r', [relay('a.log', 5_000, 'timeout')]);
    ok(inStages.cause.includes('before an engine was chosen'));
    const atEngine = explainFromLogs('r', [
      relay('a.log', 100, 'sent', { upstreamId: 'i-1' }), relay('a.log', 5_000, 'timeout'),
    ]);
    ok(atEngine.cause.includes('i-1'));
  });

  it('returns the line of the disconnect for a stream that an engine broke off', () => {
    const broken = relay('a.log', 300, 'brokenOff', { detail: 'other side closed' });
    const found = explainFromLogs('r', [
      relay('a.log', 100, 'sent'), broken, relay('a.log', 301, 'engine-broke-off'),
    ]);
    equal(found.decidingLine, broken);
  });

  it('returns the line with the closed upstreams for a request that found none open', () => {
    const closed = relay('a.log', 2, 'poolClosed', { closedIds: ['i-1'], opensInMs: 9_000 });
    const notice = createLine('a.log', 0, { event: 'upstreamBackOff', upstreamId: 'i-1' });
    const found = explainFromLogs('r', [notice, closed, relay('a.log', 3, 'no-upstream-open')]);
    equal(found.outcome, 'no-upstream-open');
    equal(found.decidingLine, closed);
    ok(found.lines.includes(notice));
  });

  it('returns the line with the crash count for a request refused by quarantine', () => {
    const decision = createLine('a.log', 2, {
      event: 'quarantine', requestId: 'r', outcome: 'admitted', fingerprint: 'f', crashCount: 3,
    });
    const refusal = createLine('a.log', 3, {
      event: 'refused', requestId: 'r', reason: 'quarantined',
    });
    const found = explainFromLogs('r', [decision, refusal]);
    equal(found.outcome, 'quarantined');
    equal(found.decidingLine, decision);
    ok(found.cause.includes('have crashed'));
  });

  it('includes events near the request, and no lines of other times or requests', () => {
    const near = createLine('c.log', 900, { event: 'placementCoordinatorLost', hostId: 'h' });
    const found = explainFromLogs('r', [
      relay('a.log', 0, 'sent'),
      near,
      createLine('c.log', 9_000, { event: 'placementCoordinatorLost', hostId: 'h' }),
      createLine('c.log', 1, { event: 'relay', requestId: 'other', outcome: 'answered' }),
    ]);
    equal(found.lines.length, 2);
    ok(found.lines.includes(near));
    equal(found.outcome, null);
  });

  it('ignores text that is no log line', () => {
    ['', 'text', '{"cut":', '{"time":"x","event":"relay"}'].forEach((text) => {
      equal(parseLogLine(text, 'a.log'), null);
    });
  });

  it('parses a line with the prefix of a log collector', () => {
    const line = parseLogLine('12.5 host-1 {"time":5,"event":"paused"}', 'a.log');
    equal(line?.event, 'paused');
  });
});
