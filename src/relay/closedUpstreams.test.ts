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

/** Sends requests one after the other; the upstreams see what becomes of them. */
async function sendSeries(started: RelayTestBed, path: string): Promise<void> {
  for (let index = 0; index < REQUEST_COUNT; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- one after the other
    await started.send(path, { 'x-request-id': `r${index}` });
  }
}

const answerEvents: UpstreamHandler = (_request, response) => {
  response.end('id: 1\ndata: a\n\n');
};

describe('RelayHost with upstreams that close', () => {
  afterEach(async () => {
    await bed?.close();
  });

  ['/safe/', '/once/', '/stream/', '/single/'].forEach((path) => {
    it(`sends nothing more to an upstream whose answer says that it leaves: ${path}`, async () => {
      let leavingCount = 0;
      const started = await startBed((request, response) => {
        leavingCount += 1;
        response.setHeader('server-leaving', '1');
        answerEvents(request, response);
      }, answerEvents);
      await sendSeries(started, path);
      ok(leavingCount <= 1, `asked ${leavingCount} times`);
    });

    it(`sends nothing more to an upstream that refuses while it leaves: ${path}`, async () => {
      let leavingCount = 0;
      const started = await startBed((_request, response) => {
        leavingCount += 1;
        response.writeHead(503, { 'server-leaving': '1', 'x-not-executed': '1' }).end();
      }, answerEvents);
      await sendSeries(started, path);
      ok(leavingCount <= 1, `asked ${leavingCount} times`);
    });

    it(`sends nothing to an upstream that asks for a back-off: ${path}`, async () => {
      let askedCount = 0;
      const started = await startBed((_request, response) => {
        askedCount += 1;
        response.writeHead(503, { 'retry-after': '20.5', 'x-not-executed': '1' }).end();
      }, answerEvents);
      await sendSeries(started, path);
      ok(askedCount <= 1, `asked ${askedCount} times`);
    });

    it(`refuses at once, with the first opening, where all back off: ${path}`, async () => {
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
      ok(retryAfterS > 25 && retryAfterS <= 31, `to come back after ${retryAfterS} s`);
      ok(counts.every((count) => count <= 1), `asked ${counts.join(' and ')} times`);
    });
  });

  it('waits for an upstream whose back-off ends in time', async () => {
    let askedCount = 0;
    const started = await startBed((_request, response) => {
      askedCount += 1;
      if (askedCount === 1) {
        response.writeHead(503, { 'retry-after': '0.3', 'x-not-executed': '1' }).end();
      } else {
        response.end('ran');
      }
    });
    equal((await started.send('/once/')).text, 'ran');
    equal(askedCount, 2);
  });

  it('does not believe what stands in an answer to another request', async () => {
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
