import { deepEqual, ok } from 'node:assert/strict';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  after, before, describe, it,
} from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { createSoakManifest } from '../../../scripts/soak/createSoakManifest.ts';
import { SoakHost } from '../../../scripts/soak/SoakHost.ts';
import { STORE_KEYS } from '../../../platform/WIRE.ts';
import { StoreStandin } from '../../../standins/store/StoreStandin.ts';
import { takeStream } from '../../support/StreamTaker.ts';
import { ENGINE_STARTED_AT_MS, VersionedEngine } from '../../support/VersionedEngine.ts';

const HOST_COUNT = 3;
const VERSIONS = ['v1', 'v2', 'v1', 'v2'];
const NETWORK = '127.201.0';
const STREAM_COUNT = 120;
const STREAM_SPACING_MS = 50;
/** One of so many streams is broken off by its engine. */
const BREAK_INTERVAL = 3;
const KILL_AFTER = 60;

/** Writes a manifest whose streams need no stages. */
function putManifest(store: StoreStandin): void {
  const manifest = createSoakManifest(1) as { routes: { stages?: unknown }[] };
  store.put(STORE_KEYS.configuration, {
    ...manifest, routes: manifest.routes.map((route) => ({ ...route, stages: [] })),
  });
}

describe('entry host processes with engines of two software versions', () => {
  const store = new StoreStandin();
  const engines = VERSIONS.map((version, index) => new VersionedEngine(
    `engine-${index}`,
    version,
    (requestId) => Number(/\d+/.exec(requestId)?.[0]) % BREAK_INTERVAL === 0,
  ));
  let hosts: SoakHost[] = [];

  function getAddress(index: number): SoakHost['callerAddress'] {
    const host = hosts[index % HOST_COUNT];
    ok(host);
    return host.callerAddress;
  }

  before(async () => {
    await store.listen();
    await Promise.all(engines.map((engine) => engine.listen()));
    putManifest(store);
    engines.forEach((engine) => store.put(`${STORE_KEYS.upstreamPrefix}${engine.id}`, {
      ...engine.entry, born: ENGINE_STARTED_AT_MS,
    }));
    const folder = mkdtempSync(join(tmpdir(), 'stream-versions-'));
    hosts = Array.from({ length: HOST_COUNT }, (_, index) => new SoakHost({
      index,
      folder,
      ip: `${NETWORK}.${index + 1}`,
      failureDomain: 'a',
      storeAddress: store.address,
      bounds: { ratio: 0.2, slack: 500, windowMs: 1_000 },
      onSpan: () => {},
    }));
    await Promise.all(hosts.map((host) => host.start()));
    await sleep(1_000);
  });

  after(async () => {
    await Promise.all(hosts.map((host) => host.stop()));
    engines.forEach((engine) => engine.close());
    await store.close();
  });

  it('joins no stream from two versions when all hosts are killed, and resumes most', async () => {
    const streams = await Promise.all(Array.from({ length: STREAM_COUNT }, async (_, index) => {
      await sleep(index * STREAM_SPACING_MS);
      if (index === KILL_AFTER) {
        await Promise.all(hosts.map((host) => host.restart('SIGKILL')));
      }
      return takeStream(`s${index}`, (tryIndex) => getAddress(index + tryIndex));
    }));
    deepEqual(streams.filter(({ versions }) => new Set(versions).size > 1), []);
    const begunCount = streams.filter(({ versions }) => versions.length > 0).length;
    ok(begunCount >= STREAM_COUNT / 2, `${begunCount} streams began`);
    const broken = streams.filter(({ resumptionCount }) => resumptionCount > 0);
    const continued = broken.filter(({ continuedCount }) => continuedCount > 0);
    ok(broken.length >= 4, `${broken.length} streams were resumed by their callers`);
    ok(
      continued.length / broken.length >= begunCount / STREAM_COUNT / 2,
      `${continued.length} of ${broken.length} streams went on: ${JSON.stringify(broken.map((
        { unreachedCount, resumptionCount, versions },
      ) => [versions.length, resumptionCount, unreachedCount]))}`,
    );
  });
});
