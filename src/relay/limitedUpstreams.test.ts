import { equal, ok } from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { RelayTestBed, type UpstreamHandler } from '../../test/support/RelayTestBed.ts';

const REQUEST_COUNT = 24;
/** Requests that a limit of 0.1 per second allows in 4 s for all hosts together. */
const ALLOWED_COUNT = 5;

let bed: RelayTestBed | null = null;

async function startBed(...handlers: UpstreamHandler[]): Promise<RelayTestBed> {
  bed = new RelayTestBed();
  await bed.start(handlers);
  return bed;
}

/** Sends requests one after another. */
async function sendSeries(started: RelayTestBed, path: string): Promise<number[]> {
  const statuses: number[] = [];
  for (let index = 0; index < REQUEST_COUNT; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- sends one request after another
    const { status } = await started.send(path, { 'x-request-id': `r${index}` });
    statuses.push(status);
  }
  return statuses;
}

const answer: UpstreamHandler = (_request, response) => {
  response.end('id: 1\ndata: a\n\n');
};

/** An upstream that advertises a limit and counts the requests it receives. */
class LimitedUpstream {
  count = 0;

  limit: string | null;

  constructor(limit: string) {
    this.limit = limit;
  }

  readonly handler: UpstreamHandler = (request, response) => {
    this.count += 1;
    if (this.limit !== null) {
      response.setHeader('server-limit', this.limit);
    }
    answer(request, response);
  };
}

describe('RelayHost with upstreams that advertise a limit', () => {
  afterEach(async () => {
    await bed?.close();
  });

  ['/safe/', '/once/', '/stream/', '/single/'].forEach((path) => {
    it(`keeps an upstream's limit and sends the rest elsewhere: ${path}`, async () => {
      const limited = new LimitedUpstream('0.1');
      const started = await startBed(limited.handler, answer);
      const statuses = await sendSeries(started, path);
      ok(statuses.every((status) => status === 200), statuses.join(' '));
      ok(limited.count <= ALLOWED_COUNT, `sent ${limited.count}`);
    });

    it(`refuses with Retry-After when all upstreams are at their limits: ${path}`, async () => {
      const limited = [new LimitedUpstream('0.1'), new LimitedUpstream('0.1')];
      const started = await startBed(...limited.map(({ handler }) => handler));
      await sendSeries(started, path);
      const { status, headers } = await started.send(path);
      equal(status, 503);
      const retryAfterS = Number(headers['retry-after']);
      ok(retryAfterS > 1 && retryAfterS <= 20, `Retry-After is ${retryAfterS} s`);
      ok(
        limited.every(({ count }) => count <= ALLOWED_COUNT),
        `sent ${limited.map(({ count }) => count).join(' and ')}`,
      );
    });

    it(`ignores an invalid limit: ${path}`, async () => {
      const limited = new LimitedUpstream('-1');
      const started = await startBed(limited.handler);
      const statuses = await sendSeries(started, path);
      ok(statuses.every((status) => status === 200), statuses.join(' '));
    });

    it(`sends without refusals to an upstream whose limit exceeds its load: ${path}`, async () => {
      const limited = new LimitedUpstream('5000');
      const started = await startBed(limited.handler);
      const statuses = await sendSeries(started, path);
      ok(statuses.every((status) => status === 200), statuses.join(' '));
    });
  });
});
