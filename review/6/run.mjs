/*
 * One client sends six requests, some seconds apart, whose X-Pieces names more pieces than a
 * process can hold, and repeats each once at another host, as clients do. What is seen: the entry
 * hosts end, one after the other, and cut off the requests of the other clients.
 */
import { randomUUID } from 'node:crypto';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { URL } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { StoreStandin } from '../../standins/store/StoreStandin.ts';
import { findAddresses, Host } from '../common-3/Host.mjs';
import { createStageHandler, createStreamHandler, Service } from '../common-3/Service.mjs';
import {
  createEngineService, createManifest, createStageService, createStreamHeaders, createStreamRoute,
} from '../common-3/manifest.mjs';
import { Record } from '../common-3/record.mjs';
import { sendRequest } from '../common-3/sendRequest.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONES = ['mid-a', 'mid-b', 'mid-c'];
const PIECES = HAS_TROUBLE ? '5000000' : '9';
const SENT_AT_MS = [3_000, 9_000, 15_000, 21_000, 27_000, 33_000];
const RUN_MS = 39_000;
/** Pause of client B before it tries again. */
const RETRY_PAUSE_MS = 200;
/** RULES.md, Fault: on a tenth of the machines in use (two at least), three times in the day. */
const FAULT_MACHINES = 2;
const FAULT_ENDS = 3;
const CALLER_INTERVAL_MS = 100;

const record = new Record(new URL('record.txt', import.meta.url).pathname);
const folder = mkdtempSync(join(tmpdir(), 'review-6-'));
const hosts = [];
const services = [];

async function start() {
  const store = new StoreStandin();
  await store.listen();
  store.put('op/config', createManifest(
    [createStreamRoute({
      name: 'letters',
      prefix: '/letters/',
      service: 'pool',
      stages: [{ service: 'roll', after: [], bytes: 8_000 }],
    })],
    [createEngineService({ name: 'pool' }), createStageService({ name: 'roll' })],
  ));
  ZONES.forEach((zone) => {
    services.push(new Service({
      id: `engine-${zone}`,
      service: 'pool',
      zone,
      store,
      handler: createStreamHandler({ eventCount: 6, gapMs: 50 }),
    }));
    services.push(new Service({
      id: `roll-${zone}`,
      service: 'roll',
      zone,
      store,
      slots: 1,
      handler: createStageHandler({ callMs: 200 }),
    }));
  });
  await Promise.all(services.map((service) => service.start()));
  const ips = await findAddresses(ZONES.length);
  ips.forEach((ip, index) => hosts.push(new Host({
    name: `front-${ZONES[index]}-1`,
    ip,
    zone: ZONES[index],
    folder,
    storeAddress: store.address,
    restarts: true,
  })));
  await Promise.all(hosts.map((host) => host.start()));
  await Promise.all(hosts.map((host) => host.waitUntilReady()));
  await sleep(1_500);
}

async function send(host, pieces, who) {
  const requestId = randomUUID();
  record.add(`${who} sends ${requestId} with X-Pieces: ${pieces} to ${host.name}`);
  const answer = await sendRequest(host.front, {
    path: '/letters/1',
    headers: createStreamHeaders(requestId, { 'X-Pieces': pieces, 'X-Piece-Key': '7c1e07a291bd' }),
    body: 'letter',
  });
  const { status, error, isComplete } = answer;
  record.add(`${who} gets ${status ?? error} for ${requestId}, complete: ${isComplete}`);
  return answer;
}

/** Sends the large request; tries once more on a new channel after a broken one. */
async function sendLarge(index) {
  const { status } = await send(hosts[index % hosts.length], PIECES, 'client B');
  if (status === null) {
    await sleep(RETRY_PAUSE_MS);
    await send(hosts[(index + 1) % hosts.length], PIECES, 'client B');
  }
}

async function run() {
  await start();
  const startedAtMs = Date.now();
  const calls = [];
  const due = [...SENT_AT_MS];
  const large = [];
  for (let index = 0; Date.now() - startedAtMs < RUN_MS; index += 1) {
    if (Date.now() - startedAtMs >= due[0]) {
      due.shift();
      large.push(sendLarge(large.length));
    }
    calls.push(send(hosts[index % hosts.length], '2', 'client A'));
    // eslint-disable-next-line no-await-in-loop -- a steady rate
    await sleep(CALLER_INTERVAL_MS);
  }
  const answers = await Promise.all(calls);
  await Promise.all(large);
  const served = answers.filter(({ status, isComplete }) => status === 200 && isComplete);
  const cut = answers
    .filter(({ status, error }) => status === null && error !== 'ECONNREFUSED');
  hosts.forEach(({ name, ownExits }) => ownExits.forEach(({ atMs, signal, code }) => {
    const seconds = ((atMs - startedAtMs) / 1_000).toFixed(2);
    record.add(`${name} ended by itself ${seconds} s after the start: ${signal ?? code}`);
  }));
  record.add(`client A: ${answers.length} requests, ${served.length} served, `
    + `${cut.length} cut off without an answer`);
  const faulty = hosts.filter(({ ownExits }) => ownExits.length >= FAULT_ENDS);
  record.add(`${faulty.length} of ${hosts.length} hosts ended ${FAULT_ENDS} times or more`);
  return faulty.length >= FAULT_MACHINES ? 1 : 0;
}

let status = 2;
try {
  status = await run();
} catch (error) {
  record.add(`the case could not run: ${error.stack}`);
} finally {
  await Promise.all(hosts.map((host) => host.stop()));
  record.add(`exit ${status}`);
  record.write();
  rmSync(folder, { recursive: true, force: true });
}
process.exit(status);
