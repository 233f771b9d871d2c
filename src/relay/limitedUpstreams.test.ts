import { equal, ok } from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { RelayTestBed, type UpstreamHandler } from '../../test/support/RelayTestBed.ts';

const REQUEST_COUNT = 24;
/** Requests that a limit of 0.1 a second allows in 4 s, for all hosts together. */
const ALLOWED_COUNT = 5;

let bed: RelayTestBed | null = null;

async function startBed(...handlers: UpstreamHandler[]): Promise<RelayTestBed> {
  bed = new RelayTestBed();
  await bed.start(handlers);
  return bed;
}

/** Sends requests one after the other. */
async function sendSeries(started: RelayTestBed, path: string): Promise<number[]> {
  const statuses: number[] = [];
  for (let index = 0; index < REQUEST_COUNT; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- one after the other
    const { status } = await started.send(path, { 'x-request-id': `r${index}` });
    statuses.push(status);
  }
  return statuses;
}

const answer: UpstreamHandler = (_request, response) => {
  response.end('id: 1\ndata: a\n\n');
};

/** An upstream that names a limit, and counts what it gets. */
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

describe('RelayHost with upstreams that name a limit', () => {
  afterEach(async () => {
    await bed?.close();
  });

  ['/safe/', '/once/', '/stream/', '/single/'].forEach((path) => {
    it(`sends an upstream no more than it takes, and the rest elsewhere: ${path}`, async () => {
      const limited = new LimitedUpstream('0.1');
      const started = await startBed(limited.handler, answer);
      const statuses = await sendSeries(started, path);
      ok(statuses.every((status) => status === 200), statuses.join(' '));
      ok(limited.count <= ALLOWED_COUNT, `sent ${limited.count}`);
    });

    it(`refuses at once, with a time to come back, what no upstream takes: ${path}`, async () => {
      const limited = [new LimitedUpstream('0.1'), new LimitedUpstream('0.1')];
      const started = await startBed(...limited.map(({ handler }) => handler));
      await sendSeries(started, path);
      const { status, headers } = await started.send(path);
      equal(status, 503);
      const retryAfterS = Number(headers['retry-after']);
      ok(retryAfterS > 1 && retryAfterS <= 20, `to come back after ${retryAfterS} s`);
      ok(
        limited.every(({ count }) => count <= ALLOWED_COUNT),
        `sent ${limited.map(({ count }) => count).join(' and ')}`,
      );
    });

    it(`passes over a limit that is no number: ${path}`, async () => {
      const limited = new LimitedUpstream('-1');
      const started = await startBed(limited.handler);
      const statuses = await sendSeries(started, path);
      ok(statuses.every((status) => status === 200), statuses.join(' '));
    });

    it(`sends as before to an upstream whose limit is above its load: ${path}`, async () => {
      const limited = new LimitedUpstream('5000');
      const started = await startBed(limited.handler);
      const statuses = await sendSeries(started, path);
      ok(statuses.every((status) => status === 200), statuses.join(' '));
    });
  });
});
