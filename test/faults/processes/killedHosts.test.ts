import { equal, ok } from 'node:assert/strict';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  after, before, describe, it,
} from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  createSoakManifest, SOAK_HOST_NAME, SOAK_KEY,
} from '../../../scripts/soak/createSoakManifest.ts';
import { SoakHost } from '../../../scripts/soak/SoakHost.ts';
import { REQUEST_KIND } from '../../../scripts/soak/SoakRecord.ts';
import { HEADERS, STORE_KEYS } from '../../../platform/WIRE.ts';
import { StoreStandin } from '../../../standins/store/StoreStandin.ts';
import { looksComplete } from '../../support/looksComplete.ts';
import { sendRaw, type RawReader } from '../../support/readRawAnswer.ts';
import { UnframedEngine } from '../../support/UnframedEngine.ts';

const IP = '127.202.0.1';
const KINDS = [REQUEST_KIND.stream, REQUEST_KIND.repeatable];
const DEADLINE_MS = 5_000;
/** Time from the first bytes of an answer until its host is killed. */
const KILL_DELAY_MS = 150;
/** Time for which the caller does not read; the rest of the answer stays in the host meanwhile. */
const CALLER_PAUSE_MS = 400;

/** Writes a manifest whose streams need no stages. */
function putManifest(store: StoreStandin): void {
  const manifest = createSoakManifest(1) as { routes: { stages?: unknown }[] };
  store.put(STORE_KEYS.configuration, {
    ...manifest, routes: manifest.routes.map((route) => ({ ...route, stages: [] })),
  });
}

describe('an entry host process that is killed while it answers', () => {
  const store = new StoreStandin();
  const engines = KINDS.map((kind) => new UnframedEngine(kind));
  let host: SoakHost | null = null;

  before(async () => {
    await store.listen();
    await Promise.all(engines.map((engine) => engine.listen()));
    putManifest(store);
    engines.forEach((engine) => {
      store.put(`${STORE_KEYS.upstreamPrefix}${engine.id}`, engine.entry);
    });
    host = new SoakHost({
      index: 0,
      folder: mkdtempSync(join(tmpdir(), 'killed-hosts-')),
      ip: IP,
      failureDomain: 'a',
      storeAddress: store.address,
      bounds: { ratio: 0.2, slack: 500, windowMs: 1_000 },
      onSpan: () => {},
    });
    await host.start();
    await sleep(1_000);
  });

  after(async () => {
    await host?.stop();
    engines.forEach((engine) => engine.close());
    await store.close();
  });

  function send(kind: string, reader: RawReader): ReturnType<typeof sendRaw> {
    ok(host);
    return sendRaw(host.callerAddress, [
      `POST /${kind}/x HTTP/1.1`,
      `Host: ${SOAK_HOST_NAME}`,
      `${HEADERS.requestId}: ${kind}-${DEADLINE_MS}`,
      `${HEADERS.authorization}: Bearer ${SOAK_KEY}`,
      `${HEADERS.deadlineMs}: ${DEADLINE_MS}`,
      'Content-Length: 0',
      'Connection: close',
      '',
      '',
    ].join('\r\n'), reader);
  }

  KINDS.forEach((kind) => {
    it(`leaves no partial answer that looks complete to its caller: ${kind}`, async () => {
      ok(looksComplete(await send(kind, {})));
      let restarted: Promise<void> | undefined;
      const answer = await send(kind, {
        onFirstBytes: () => {
          restarted = sleep(KILL_DELAY_MS).then(() => host?.restart('SIGKILL'));
        },
        pauseMs: kind === REQUEST_KIND.stream ? 0 : CALLER_PAUSE_MS,
      });
      await restarted;
      ok(answer.text.startsWith('HTTP/1.1 200'), answer.text.slice(0, 100));
      equal(looksComplete(answer), false);
    });
  });
});
