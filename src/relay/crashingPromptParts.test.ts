import { equal, ok } from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, it } from 'node:test';
import { RelayTestBed, type UpstreamHandler } from '../../test/support/RelayTestBed.ts';

/** Longer than a host needs to detect that an upstream has crashed. */
const NOTICE_MS = 200;
const UPSTREAM_COUNT = 10;
const HEADER = 'x-prompt-prefix';

let bed: RelayTestBed | null = null;

/** Starts upstreams that crash and stay down when they answer on the part `dead`. */
async function startBed(): Promise<{ readonly bed: RelayTestBed; readonly ended: number[] }> {
  const ended: number[] = [];
  const started = new RelayTestBed();
  bed = started;
  const handlers = Array.from({ length: UPSTREAM_COUNT }, (_, index): UpstreamHandler => (
    (request, response) => {
      if (String(request.headers[HEADER]).includes('dead:')) {
        ended.push(index);
        started.endUpstream(index);
      } else {
        response.writeHead(200, { 'content-type': 'text/event-stream' });
        response.end('id: 0\ndata: a\n\n');
      }
    }));
  await started.start(handlers);
  return { bed: started, ended };
}

function send(target: RelayTestBed, index: number, parts: string): Promise<{ status: number }> {
  return target.send(`/stream/${index}`, {
    'x-request-id': `r${index}`,
    'x-token-usage': '30,1',
    [HEADER]: `${parts},f${index}:10`,
  });
}

describe('RelayHost with a prompt part that crashes upstreams', () => {
  afterEach(async () => {
    await bed?.close();
  });

  it('refuses different requests with it, and serves those with their other parts', async () => {
    const { bed: target, ended } = await startBed();
    equal((await send(target, 100, 'a1:10,b2:10')).status, 200);
    for (let index = 0; index < 8; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- sends one request after another
      await send(target, index, 'a1:10,b2:10,dead:10').catch(() => {});
      // eslint-disable-next-line no-await-in-loop -- waits until the crash is detected
      await sleep(NOTICE_MS);
      // eslint-disable-next-line no-await-in-loop -- as above
      equal((await send(target, 100 + index, 'a1:10,b2:10')).status, 200);
    }
    ok(ended.length <= 6, `${ended.length} upstreams crashed`);
    const last = await send(target, 9, 'a1:10,b2:10,dead:10');
    equal(last.status, 503);
  });
});
