/* global URL, console */
import { randomBytes } from 'node:crypto';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { MSA_SEATDESK_BOUNDS } from '../common-2/BOUNDS.mjs';
import {
  Host, createFolder, drawNetwork, killAll,
} from '../common-2/Host.mjs';
import { Record } from '../common-2/record.mjs';
import { sendRequest } from '../common-2/sendRequest.mjs';
import { Store } from '../common-2/Store.mjs';
import { StreamEngine } from '../common-2/StreamEngine.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const KEY = 'k-9dnn2ctnfzs989anu6ws';
/** Two streams may hold events of two versions. */
const ALLOWED_MIXED = 2;
const STORE_DOWN_MS = 4_500;
const ENGINE_DOWN_MS = 1_000;
const STREAMS_PER_S = 12;
/** The hosts use their share of the retry slack from 1.2 windows after their registration on. */
const WARM_UP_MS = 15_000;
const STREAM_MS = 20_000;

const record = new Record();
const network = drawNetwork();
const folder = createFolder();
const store = new Store();
const answers = [];
const open = new Set();
let isSending = true;

function createManifest() {
  return {
    version: 7,
    routes: [{
      name: 'r-chat',
      host: 'pule25.example',
      prefix: '/chat/',
      kind: 'streaming',
      timeout_ms: 20_000,
      target_latency_ms: 2_700,
      gap_target_ms: 400,
      priority: 2,
      service: 'parsley-pool',
      max_attempts: 2,
      stages: [],
      no_auth: false,
      session_affinity: true,
      stream_resume: true,
    }],
    services: [{
      name: 'parsley-pool',
      health_path: '/health',
      max_connections: 370,
      cold_start_s: 0,
      cold_per_s: 0,
      engine: { slots: 64, kv_capacity_tokens: 326_199, handle_s: 5 },
    }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: 'bozi300', api_keys: [KEY], priority: 2 }],
  };
}

/** Reads the numbers and the versions of the events of an answer. */
function readEvents(body) {
  return [...body.matchAll(/id: (\d+)\ndata: (v\d+) of (\S+)\n\n/g)]
    .map(([, number, version, engine]) => ({ number: Number(number), version, engine }));
}

async function sendStream(host) {
  const id = randomBytes(8).toString('hex');
  record.add(`client sends ${id} to ${host.name}`);
  const answer = await sendRequest({
    address: host.address,
    method: 'POST',
    path: '/chat/2f',
    headers: {
      Host: 'pule25.example',
      'X-Request-Id': id,
      'X-Model': 'm',
      'X-Token-Usage': '200,400',
      'X-Prompt-Prefix': `5c1e07a2:100,${randomBytes(4).toString('hex')}:100`,
      'X-Deadline-Ms': String(STREAM_MS),
      Authorization: `Bearer ${KEY}`,
    },
    body: 'a question',
    timeoutMs: STREAM_MS,
  });
  const events = readEvents(answer.body);
  const versions = [...new Set(events.map(({ version }) => version))];
  answers.push({ id, versions });
  record.add(`client has of ${id} status=${answer.status} events=${events.length} versions=${
    versions.join('+')} engines=${[...new Set(events.map(({ engine }) => engine))].join('+')} ${
    answer.isWhole ? 'complete' : `broken off ${answer.detail}`}`);
}

async function sendStreams(hosts) {
  for (let count = 0; isSending; count += 1) {
    const sending = sendStream(hosts[count % hosts.length]);
    open.add(sending);
    sending.finally(() => open.delete(sending));
    // eslint-disable-next-line no-await-in-loop -- sends at an even rate
    await sleep(1_000 / STREAMS_PER_S);
  }
}

async function run() {
  await store.start();
  store.put('op/config', createManifest());
  const zones = ['mid-a', 'mid-b', 'mid-c', 'mid-a', 'mid-b', 'mid-c'];
  const engines = zones.map((zone, index) => new StreamEngine({
    id: `i-7f3a91c${index}`,
    ip: `${network}.${100 + index}`,
    zone,
    service: 'parsley-pool',
    version: 'v1',
    store,
    record,
    eventCount: 90,
    gapMs: 150,
    firstMs: 60,
  }));
  await Promise.all(engines.map((engine) => engine.start()));
  const hosts = ['mid-a', 'mid-b'].map((zone, index) => new Host({
    name: `front-${zone}-1`,
    ip: `${network}.${1 + index}`,
    zone,
    storeAddress: store.address,
    bounds: MSA_SEATDESK_BOUNDS,
    folder,
  }));
  await Promise.all(hosts.map((host) => host.start()));
  const sending = sendStreams(hosts);
  await sleep(WARM_UP_MS);
  const [engine] = engines;
  if (HAS_TROUBLE) {
    record.add('the store is down');
    store.setDown(true);
  }
  await sleep(500);
  if (HAS_TROUBLE) {
    await engine.restartAs('v2', ENGINE_DOWN_MS);
  }
  await sleep(STORE_DOWN_MS - 500 - ENGINE_DOWN_MS);
  if (HAS_TROUBLE) {
    record.add('the store is back');
    store.setDown(false);
  }
  await sleep(4_000);
  if (HAS_TROUBLE) {
    await engine.restartAs('v2', ENGINE_DOWN_MS);
  }
  isSending = false;
  await sending;
  await Promise.all([...open]);
  engines.forEach((each) => each.crash());
}

let exitCode = 2;
try {
  await run();
  if (answers.filter(({ versions }) => versions.length > 0).length < answers.length / 2) {
    throw new Error('fewer than half of the requests were served');
  }
  const mixed = answers.filter(({ versions }) => versions.length > 1);
  exitCode = mixed.length > ALLOWED_MIXED ? 1 : 0;
  record.add(`${answers.length} streams, ${mixed.length} hold events of two software versions; ${
    ALLOWED_MIXED} may; ${exitCode === 0 ? 'ORDER held' : 'ORDER is broken'}`);
  // eslint-disable-next-line no-console -- the result of the run
  console.log(`${answers.length} streams, ${mixed.length} of two versions, exit ${exitCode}`);
} catch (error) {
  record.add(`could not run: ${error.stack}`);
  // eslint-disable-next-line no-console -- the cause
  console.error(error);
}
killAll();
record.write(fileURLToPath(new URL('record.txt', import.meta.url)));
process.exit(exitCode);
