import { deepEqual, equal, ok } from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { performance } from 'node:perf_hooks';
import { readRawAnswer } from '../../test/support/readRawAnswer.ts';
import { RelayTestBed, type UpstreamHandler } from '../../test/support/RelayTestBed.ts';

const EVENT_COUNT = 4;
const BREAK_DELAY_MS = 200;

let bed: RelayTestBed | null = null;

/** Creates an upstream that breaks new streams off after two events, and completes resumed ones. */
function createBreakingUpstream(version: string, delayMs = 20): UpstreamHandler {
  return (request, response) => {
    const lastId = Number(request.headers['last-event-id'] ?? 0);
    const endId = lastId === 0 ? 2 : EVENT_COUNT;
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    for (let id = lastId + 1; id <= endId; id += 1) {
      response.write(`id: ${id}\ndata: ${version}\n\n`);
    }
    if (endId === EVENT_COUNT) {
      response.end();
    } else {
      setTimeout(() => request.socket.resetAndDestroy(), delayMs);
    }
  };
}

async function startBed(...versions: string[]): Promise<RelayTestBed> {
  bed = new RelayTestBed();
  await bed.start(versions.map((version) => createBreakingUpstream(version)), 50, versions);
  return bed;
}

function getVersions(text: string): string[] {
  return [...text.matchAll(/^data: (.*)$/gm)].map(([, version]) => version ?? '');
}

describe('RelayHost with upstreams of two software versions', () => {
  afterEach(async () => {
    await bed?.close();
  });

  it('resumes a broken stream only at the software version that began it', async () => {
    const target = await startBed('v1', 'v2', 'v1', 'v2');
    for (let index = 0; index < 6; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- sends one request after another
      const { text } = await target.send('/stream/', { 'x-request-id': `r${index}` });
      const versions = getVersions(text);
      deepEqual(versions, Array.from({ length: EVENT_COUNT }, () => versions[0]));
    }
  });

  it('breaks a stream off when no other upstream has the version that began it', async () => {
    const target = await startBed('v1', 'v2');
    const { text } = await readRawAnswer(target, '/stream/');
    equal(getVersions(text).length, 2);
    ok(!text.endsWith('0\r\n\r\n'), 'the last chunk would make the stream look complete');
  });

  it('joins no stream with an engine that restarted at another version unnoticed', async () => {
    const target = await startBed('v1', 'v1');
    target.restartUnnoticed('v2');
    const { text } = await readRawAnswer(target, '/stream/');
    equal(getVersions(text).length, 2);
    ok(!text.endsWith('0\r\n\r\n'), 'the last chunk would make the stream look complete');
  });

  it('lets no stream go on while neither engines nor the store tell of restarts', async () => {
    const target = await startBed('v1', 'v1');
    target.reports = 'nobody';
    target.turnAway();
    const { text } = await readRawAnswer(target, '/stream/');
    equal(getVersions(text).length, 2);
    ok(!text.endsWith('0\r\n\r\n'), 'the last chunk would make the stream look complete');
  });

  it('lets a stream go on with the store away at engines that have not restarted', async () => {
    const target = await startBed('v1', 'v1');
    target.turnAway();
    const { text } = await target.send('/stream/');
    deepEqual(getVersions(text), ['v1', 'v1', 'v1', 'v1']);
  });

  [true, false].forEach((isAnnounced) => {
    const when = isAnnounced ? 'whose entry arrives while it runs' : 'whose entry does not arrive';
    it(`joins no stream of a restarted engine ${when} with another version`, async () => {
      const target = new RelayTestBed();
      bed = target;
      let restartedIndex: number | null = null;
      await target.start([0, 1].map((index) => (request, response) => {
        // The engine that gets the stream has just started again as v2.
        restartedIndex ??= index;
        target.restartCutOff(restartedIndex);
        const version = index === restartedIndex ? 'v2' : 'v1';
        createBreakingUpstream(version, BREAK_DELAY_MS)(request, response);
        if (isAnnounced) {
          setTimeout(() => target.announceRestart(restartedIndex ?? 0, 'v2'), BREAK_DELAY_MS / 2);
        }
      }));
      const { text } = await readRawAnswer(target, '/stream/');
      deepEqual(getVersions(text), ['v2', 'v2']);
      const resumed = await target.send('/stream/', {
        'x-request-id': 'taken-up', resumes: 'r1', 'last-event-id': '2',
      });
      deepEqual(getVersions(resumed.text).filter((version) => version !== 'v2'), []);
    });
  });

  it('lets a caller take a stream up only at the software version that began it', async () => {
    const target = await startBed('v1', 'v2', 'v1', 'v2');
    for (let index = 0; index < 6; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- sends one request after another
      const begun = await target.send('/stream/', { 'x-request-id': `b${index}` });
      const [version] = getVersions(begun.text);
      // eslint-disable-next-line no-await-in-loop -- as above
      const resumed = await target.send('/stream/', {
        'x-request-id': `t${index}`, resumes: `b${index}`, 'last-event-id': '2',
      });
      deepEqual(getVersions(resumed.text), [version, version]);
    }
  });

  it('refuses at once to resume a stream whose software version is unknown', async () => {
    const target = await startBed('v1', 'v2');
    const startedAtMs = performance.now();
    const { status, text } = await target.send('/stream/', {
      resumes: 'begun-elsewhere', 'last-event-id': '2',
    });
    equal(status, 503);
    deepEqual(getVersions(text), []);
    ok(performance.now() - startedAtMs < 1_000);
  });

  it('resumes a stream begun elsewhere while only one software version is known', async () => {
    const target = await startBed('v1', 'v1');
    const { text } = await target.send('/stream/', {
      resumes: 'begun-elsewhere', 'last-event-id': '2',
    });
    deepEqual(getVersions(text), ['v1', 'v1']);
  });
});
