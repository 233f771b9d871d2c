/* global performance */
/* A machine without a path to engines passes requests on to a stale one; see claim.txt. */
import { setTimeout as sleep } from 'node:timers/promises';
import {
  Bed, BOUNDS, createRoute, createService, isTroubled, KEY,
} from '../common-4/bed.mjs';
import { send } from '../common-4/callers.mjs';
import { EngineProcess } from '../common-4/EngineProcess.mjs';
import { Link } from '../common-4/link.mjs';
import { StoreView } from '../common-4/StoreView.mjs';

const SERVICE = 'ledger';
const ADDED_SERVICE = 'roll';
const DROPPED_KEY = 'dropped-key';
/** Moments after the start of the traffic. */
const STRANDED_MS = 1_000;
const STORE_CUT_MS = 4_000;
const CHANGE_MS = 4_100;
const SEND_FROM_MS = CHANGE_MS + BOUNDS.config_apply_ms + 200;
const SEND_UNTIL_MS = SEND_FROM_MS + 1_300;
const HEAL_MS = 8_500;
const INTERVAL_MS = 50;

const bed = new Bed('review/13');
await bed.store.listen();
const engines = [SERVICE, SERVICE, SERVICE, ADDED_SERVICE, ADDED_SERVICE].map((service, index) => (
  new EngineProcess(bed, {
    name: `e${index + 1}`,
    service,
    workMs: 43,
    answerBytes: 800,
    parts: 1,
    hasLength: true,
    slots: 6,
    queue: 24,
  })));
await Promise.all(engines.map((engine) => engine.start()));
engines.forEach((engine) => bed.register(engine.id, {
  service: engine.options.service, address: engine.address, born: engine.born,
}));
const services = [SERVICE, ADDED_SERVICE].map(createService);
const oldRoutes = [createRoute(SERVICE, { kind: 'unsafe', max_attempts: 1 })];
const newRoutes = [...oldRoutes, createRoute(ADDED_SERVICE, { kind: 'unsafe', max_attempts: 1 })];
bed.putManifest(1, { routes: oldRoutes, services, keys: [KEY, DROPPED_KEY] });

/** Starts a machine with links and a path to the store of its own. */
async function startMachine() {
  const links = engines.map((engine) => new Link(() => engine.address));
  await Promise.all(links.map((link) => link.listen()));
  const view = new StoreView(bed.store.address, (address) => (
    links[engines.findIndex((engine) => engine.address === address)]?.address ?? address));
  await view.listen();
  return { links, view, host: await bed.startHost(view.address) };
}

const first = await startMachine();
const second = await startMachine();
// It has all its paths, and the newest version; some requests are passed on to it.
await startMachine();
await sleep(1_500);
const originMs = performance.now();

async function at(momentMs, text, action) {
  await sleep(Math.max(0, momentMs - (performance.now() - originMs)));
  action();
  bed.log(text);
}

async function disturb() {
  await at(STRANDED_MS, 'host 1 is partitioned from all engines', () => (
    first.links.forEach((link) => link.refuse())));
  await at(STORE_CUT_MS, 'host 2 is partitioned from the store', () => second.view.cut());
  await sleep(Math.max(0, HEAL_MS - (performance.now() - originMs)));
  await Promise.all(first.links.map((link) => link.accept()));
  second.view.heal();
  bed.log('both partitions have healed');
}

const disturbed = isTroubled ? disturb() : null;
const changed = at(CHANGE_MS, 'a version without a key and with a new route is acked', () => (
  bed.putManifest(2, { routes: newRoutes, services, keys: [KEY] })));
const sent = [];
while (performance.now() - originMs < HEAL_MS + 500) {
  const nowMs = performance.now() - originMs;
  sent.push(send(first.host, { path: `/${SERVICE}/usual`, body: 'a' })
    .then((answer) => ({ kind: 'usual', nowMs, ...answer })));
  if (nowMs >= SEND_FROM_MS && nowMs < SEND_UNTIL_MS) {
    sent.push(send(first.host, { path: `/${SERVICE}/dropped`, key: DROPPED_KEY, body: 'b' })
      .then((answer) => ({ kind: 'dropped key', nowMs, ...answer })));
    sent.push(send(first.host, { path: `/${ADDED_SERVICE}/added`, body: 'c' })
      .then((answer) => ({ kind: 'new route', nowMs, ...answer })));
  }
  // eslint-disable-next-line no-await-in-loop -- paces the clients
  await sleep(INTERVAL_MS);
}
const answers = await Promise.all(sent);
await disturbed;
await changed;
const ran = new Map(engines.flatMap((engine) => engine.records)
  .filter(({ kind }) => kind === 'run').map(({ requestId, engine }) => [requestId, engine]));
answers.filter(({ kind }) => kind !== 'usual').forEach(({
  kind, id, nowMs, status, tookMs,
}) => bed.log(`${kind}: request ${id}, sent to host 1 `
  + `${Math.round(nowMs - CHANGE_MS)} ms after the ack, gets ${status} after ${tookMs} ms, `
  + `run at ${ran.get(id) ?? 'no engine'}`));
const usual = answers.filter(({ kind }) => kind === 'usual');
const servedCount = usual.filter(({ status }) => status === 200).length;
bed.log(`${servedCount} of ${usual.length} usual requests are served`);
const oldRunCount = answers.filter(({ kind, id }) => kind === 'dropped key' && ran.has(id)).length;
const refusedCount = answers.filter(({ kind, status }) => (
  kind === 'new route' && [401, 403, 404].includes(status))).length;
if (servedCount < usual.length / 2) {
  bed.finish(2, 'too few usual requests are served');
} else {
  bed.finish(
    oldRunCount + refusedCount > 0 ? 1 : 0,
    `${oldRunCount} requests run with a dropped key, ${refusedCount} on a new route are refused`,
  );
}
