import { deepEqual, equal, ok } from 'node:assert/strict';
import { performance } from 'node:perf_hooks';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Cut } from '../../test/support/CuttableConnections.ts';
import { StrandedFleet } from '../../test/support/StrandedFleet.ts';

/** Time after which a host must know that it is cut off. */
const CONTACT_MS = 3_000;
const PATHS = ['/safe/', '/once/', '/stream/', '/single/'];
/** Several requests are open at a time, but no more than a test's upstreams take. */
const SLOW_RUN_MS = 200;
const EVENTS = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';

let fleet: StrandedFleet | null = null;

async function startFleet(hostCount: number): Promise<StrandedFleet> {
  fleet = new StrandedFleet();
  await fleet.start(hostCount, (request, response) => {
    response.end(request.url?.startsWith('/s') === true ? EVENTS : 'ran');
  });
  // The hosts learn of each other.
  await sleep(200);
  return fleet;
}

/** Sends requests to a host until the time by which it must know that it is cut off. */
async function sendUntilKnown(target: StrandedFleet, hostIndex: number): Promise<void> {
  const untilMs = performance.now() + CONTACT_MS;
  for (let index = 0; performance.now() < untilMs; index += 1) {
    PATHS.forEach((path) => {
      target.send(hostIndex, path, `before-${hostIndex}-${index}${path}`).catch(() => {});
    });
    // eslint-disable-next-line no-await-in-loop -- requests come at intervals
    await sleep(100);
  }
}

describe('RelayHost without a path to any upstream', () => {
  afterEach(async () => {
    await fleet?.close();
  });

  (['silent', 'refused'] satisfies Cut[]).forEach((cut) => {
    it(`serves its callers through other hosts while its connections are ${cut}`, async () => {
      const target = await startFleet(3);
      target.cut(0, cut);
      target.cut(1, cut);
      await Promise.all([sendUntilKnown(target, 0), sendUntilKnown(target, 1)]);
      const answers = await Promise.all(PATHS.flatMap((path) => [0, 1].map(async (hostIndex) => {
        const startedAtMs = performance.now();
        const { status } = await target.send(hostIndex, path, `after-${hostIndex}${path}`);
        return [status, performance.now() - startedAtMs < 1_000];
      })));
      deepEqual(answers, answers.map(() => [200, true]));
      const once = target.runs.filter((id) => id.includes('/once/') || id.includes('/single/'));
      equal(new Set(once).size, once.length, 'a request that may run once ran twice');
    });
  });

  it('marks no end of a small answer that its upstream did not mark', async () => {
    fleet = new StrandedFleet();
    await fleet.start(2, (request, response) => {
      response.socket?.end([
        'HTTP/1.1 200 OK',
        `X-Request-Id: ${String(request.headers['x-request-id'])}`,
        'Connection: close',
        '',
        'ran',
      ].join('\r\n'));
    });
    await sleep(200);
    fleet.cut(0, 'refused');
    await sendUntilKnown(fleet, 0);
    const { text } = await fleet.sendRaw(0, '/once/', 'unmarked');
    ok(text.startsWith('HTTP/1.1 200'), text);
    ok(!/content-length|transfer-encoding/i.test(text), text);
    ok(text.endsWith('\r\n\r\nran'), text);
  });

  it('passes on large uploads, which take many chunks', async () => {
    const target = await startFleet(2);
    target.cut(0, 'refused');
    await sendUntilKnown(target, 0);
    const body = 'u'.repeat(1_000_000);
    equal((await target.send(0, '/once/', 'large', 'key', body)).status, 200);
    ok(target.runs.includes('large'));
  });

  it('passes requests on to no host that it knows to be silent', async () => {
    fleet = new StrandedFleet();
    await fleet.start(2, (_request, response) => {
      setTimeout(() => response.end('ran'), SLOW_RUN_MS);
    });
    const target = fleet;
    await target.addSilentHost();
    await sleep(200);
    target.cut(0, 'refused');
    await sendUntilKnown(target, 0);
    // The silent host has the fewest open requests whenever the other one serves some.
    const answers = await Promise.all(Array.from({ length: 60 }, async (_, index) => {
      await sleep(index * 30);
      return (await target.send(0, '/once/', `later-${index}`)).status;
    }));
    deepEqual(answers, answers.map(() => 200));
  });

  it('refuses at once while no host reaches an upstream, and serves again later', async () => {
    const target = await startFleet(2);
    [0, 1].forEach((hostIndex) => target.cut(hostIndex, 'silent'));
    await Promise.all([sendUntilKnown(target, 0), sendUntilKnown(target, 1)]);
    const startedAtMs = performance.now();
    equal((await target.send(0, '/once/', 'refused')).status, 503);
    ok(performance.now() - startedAtMs < 500);
    [0, 1].forEach((hostIndex) => target.cut(hostIndex, 'none'));
    await sleep(600);
    equal((await target.send(0, '/once/', 'back')).status, 200);
    ok(!target.runs.includes('refused'));
  });
});
