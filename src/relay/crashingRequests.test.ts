import { deepEqual, equal, ok } from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, it } from 'node:test';
import { RelayTestBed, type UpstreamHandler } from '../../test/support/RelayTestBed.ts';

/** Longer than a host needs to detect that an upstream has crashed. */
const NOTICE_MS = 200;
const UPSTREAM_COUNT = 8;

let bed: RelayTestBed | null = null;

/** Starts upstreams that crash and stay down when they receive a request for `/crash`. */
async function startBed(): Promise<{ readonly bed: RelayTestBed; readonly ended: number[] }> {
  const ended: number[] = [];
  const started = new RelayTestBed();
  bed = started;
  const handlers = Array.from({ length: UPSTREAM_COUNT }, (_, index): UpstreamHandler => (
    (request, response) => {
      if (request.url?.endsWith('/crash') === true) {
        ended.push(index);
        started.endUpstream(index);
      } else {
        response.end('fine');
      }
    }));
  await started.start(handlers);
  return { bed: started, ended };
}

async function sendSeries(
  { bed: target }: { readonly bed: RelayTestBed },
  path: string,
  count: number,
): Promise<{ status: number; retryAfter: string | undefined }[]> {
  const answers = [];
  for (let index = 0; index < count; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- sends one request after another
    const { status, headers } = await target.send(path, { 'x-request-id': `r${index}` });
    answers.push({ status, retryAfter: headers['retry-after'] });
    // eslint-disable-next-line no-await-in-loop -- waits until the crash is detected
    await sleep(NOTICE_MS);
  }
  return answers;
}

describe('RelayHost with requests that crash upstreams', () => {
  afterEach(async () => {
    await bed?.close();
  });

  ['once', 'safe', 'single'].forEach((route) => {
    it(`refuses them after a few crashes and serves others on the route ${route}`, async () => {
      const started = await startBed();
      const answers = await sendSeries(started, `/${route}/crash`, 7);
      // Two upstreams for each request that may be retried, and one for the trial.
      ok(started.ended.length <= 5, `${started.ended.length} upstreams crashed`);
      const last = answers.at(-1);
      equal(last?.status, 503);
      ok(Number(last?.retryAfter) > 0);
      const others = await sendSeries(started, '/safe/other', 2);
      deepEqual(others.map(({ status }) => status), [200, 200]);
    });
  });

  it('serves a request that only happened to run when upstreams crashed on their own', async () => {
    const started = await startBed();
    const answers: number[] = [];
    for (let index = 0; index < UPSTREAM_COUNT - 2; index += 1) {
      const sent = Array.from({ length: 12 }, (_, number) => (
        started.bed.send('/safe/popular', { 'x-request-id': `p${index}-${number}` })));
      started.bed.endUpstream(index);
      // eslint-disable-next-line no-await-in-loop -- upstreams crash one after another
      answers.push(...(await Promise.all(sent)).map(({ status }) => status));
      // eslint-disable-next-line no-await-in-loop -- as above
      await sleep(NOTICE_MS);
    }
    const late = await sendSeries(started, '/safe/popular', 3);
    deepEqual(late.map(({ status }) => status), [200, 200, 200]);
    deepEqual(answers.filter((status) => status === 503), []);
  });
});
