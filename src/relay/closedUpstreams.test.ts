import { equal, ok } from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { RelayTestBed, type UpstreamHandler } from '../../test/support/RelayTestBed.ts';

const REQUEST_COUNT = 12;

let bed: RelayTestBed | null = null;

async function startBed(...handlers: UpstreamHandler[]): Promise<RelayTestBed> {
  bed = new RelayTestBed();
  await bed.start(handlers);
  return bed;
}

/** Sends requests one after another. */
async function sendSeries(started: RelayTestBed, path: string): Promise<void> {
  for (let index = 0; index < REQUEST_COUNT; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- sends one request after another
    await started.send(path, { 'x-request-id': `r${index}` });
  }
}

const answerEvents: UpstreamHandler = (_request, response) => {
  response.end('id: 1\ndata: a\n\n');
};

describe('RelayHost with closing upstreams', () => {
  afterEach(async () => {
    await bed?.close();
  });

  ['/safe/', '/once/', '/stream/', '/single/'].forEach((path) => {
    it(`stops sending to an upstream that announces that it is leaving: ${path}`, async () => {
      let leavingCount = 0;
      const started = await startBed((request, response) => {
        leavingCount += 1;
        response.setHeader('server-leaving', '1');
        answerEvents(request, response);
      }, answerEvents);
      await sendSeries(started, path);
      ok(leavingCount <= 1, `received ${leavingCount} requests`);
    });

    it(`stops sending to an upstream that refuses because it is leaving: ${path}`, async () => {
      let leavingCount = 0;
      const started = await startBed((_request, response) => {
        leavingCount += 1;
        response.writeHead(503, { 'server-leaving': '1', 'x-not-executed': '1' }).end();
      }, answerEvents);
      await sendSeries(started, path);
      ok(leavingCount <= 1, `received ${leavingCount} requests`);
    });

    it(`stops sending to an upstream that asks for a back-off: ${path}`, async () => {
      let receivedCount = 0;
      const started = await startBed((_request, response) => {
        receivedCount += 1;
        response.writeHead(503, { 'retry-after': '20.5', 'x-not-executed': '1' }).end();
      }, answerEvents);
      await sendSeries(started, path);
      ok(receivedCount <= 1, `received ${receivedCount} requests`);
    });

    it(`refuses with the earliest Retry-After when all back off: ${path}`, async () => {
      const counts = [0, 0];
      const backOff = (index: number, seconds: string): UpstreamHandler => (_request, response) => {
        counts[index] = (counts[index] ?? 0) + 1;
        response.writeHead(503, { 'retry-after': seconds, 'x-not-executed': '1' }).end();
      };
      const started = await startBed(backOff(0, '40'), backOff(1, '30'));
      await sendSeries(started, path);
      const { status, headers } = await started.send(path);
      equal(status, 503);
      const retryAfterS = Number(headers['retry-after']);
      ok(retryAfterS > 25 && retryAfterS <= 31, `Retry-After is ${retryAfterS} s`);
      ok(counts.every((count) => count <= 1), `received ${counts.join(' and ')} requests`);
    });
  });

  it('waits for an upstream whose back-off ends before the deadline', async () => {
    let receivedCount = 0;
    const started = await startBed((_request, response) => {
      receivedCount += 1;
      if (receivedCount === 1) {
        response.writeHead(503, { 'retry-after': '0.3', 'x-not-executed': '1' }).end();
      } else {
        response.end('ran');
      }
    });
    equal((await started.send('/once/')).text, 'ran');
    equal(receivedCount, 2);
  });

  it('ignores a notice in an answer to another request', async () => {
    let leavingCount = 0;
    const started = await startBed((_request, response) => {
      leavingCount += 1;
      response.setHeader('x-request-id', 'another');
      response.setHeader('server-leaving', '1');
      response.end('forged');
    });
    await started.send('/once/');
    await started.send('/once/');
    equal(leavingCount, 2);
  });
});
