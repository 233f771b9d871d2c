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
import { SupervisedEngine } from '../common-2/SupervisedEngine.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const KEY = 'k-9dnn2ctnfzs989anu6ws';
const EVENT_COUNT = 70;
const GAP_MS = 100;
const FIRST_MS = 60;
/** An engine that starts after a crash loads its model for so long before it serves. */
const LOAD_MS = 3_000;
const STREAMS_PER_S = 8;
const WARM_UP_MS = 15_000;
const AFTER_CRASH_MS = 5_000;
const DEADLINE_MS = 20_000;

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
      'X-Deadline-Ms': String(DEADLINE_MS),
      Authorization: `Bearer ${KEY}`,
    },
    body: 'a question',
    timeoutMs: DEADLINE_MS,
  });
  const numbers = [...answer.body.matchAll(/id: (\d+)\n/g)].map(([, number]) => Number(number));
  const isWhole = numbers.length === EVENT_COUNT
    && numbers.every((number, index) => number === index + 1);
  const isCut = answer.status === 200 && answer.isWhole && !isWhole;
  answers.push({ isComplete: answer.status === 200 && answer.isWhole, isCut });
  record.add(`client has of ${id} status=${answer.status} events=${numbers.length} last=${
    numbers.at(-1) ?? '-'} coding=${answer.headers['transfer-encoding'] ?? '-'} ${
    answer.isWhole ? 'ended as complete' : `broken off ${answer.detail}`}${
    isCut ? ' BEFORE ITS LAST EVENT' : ''}`);
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
  const engines = zones.map((zone, index) => new SupervisedEngine({
    id: `i-7f3a91c${index}`,
    ip: `${network}.${100 + index}`,
    entry: {
      service: 'parsley-pool',
      zone,
      slots: 64,
      stage: 'combined',
      models: [{ name: 'm', version: 1, adapters: [] }],
    },
    program: 'streamWorker.mjs',
    getArgs: (born, isFirst) => [born, isFirst ? 0 : LOAD_MS, EVENT_COUNT, GAP_MS, FIRST_MS],
    store,
    record,
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
  if (HAS_TROUBLE) {
    engines[0].crash();
  }
  await sleep(AFTER_CRASH_MS);
  isSending = false;
  await sending;
  await Promise.all([...open]);
  engines.forEach((engine) => engine.close());
}

let exitCode = 2;
try {
  await run();
  const cut = answers.filter(({ isCut }) => isCut);
  const complete = answers.filter(({ isComplete }) => isComplete);
  if (complete.length < answers.length / 2) {
    throw new Error('fewer than half of the requests were served');
  }
  exitCode = cut.length > 0 ? 1 : 0;
  const text = `${answers.length} streams, ${complete.length} ended as complete, ${
    cut.length} of them before the last event`;
  record.add(`${text}; ${exitCode === 0 ? 'ORDER held' : 'ORDER is broken'}`);
  // eslint-disable-next-line no-console -- the result of the run
  console.log(`${text}, exit ${exitCode}`);
} catch (error) {
  record.add(`could not run: ${error.stack}`);
  // eslint-disable-next-line no-console -- the cause
  console.error(error);
}
killAll();
record.write(fileURLToPath(new URL('record.txt', import.meta.url)));
process.exit(exitCode);
