/* global URL, console */
import { randomBytes } from 'node:crypto';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { MSA_SEATDESK_BOUNDS } from '../common-2/BOUNDS.mjs';
import {
  Host, createFolder, drawNetwork, killAll,
} from '../common-2/Host.mjs';
import { Record, now } from '../common-2/record.mjs';
import { sendRequest } from '../common-2/sendRequest.mjs';
import { Store } from '../common-2/Store.mjs';
import { StreamEngine } from '../common-2/StreamEngine.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const KEY = 'k-9dnn2ctnfzs989anu6ws';
const FIRST_PART = '5c1e07a2:100';
const CRASHING_PART = 'bad0c0de';
const ENGINE_COUNT = 13;
const ENGINE_DOWN_MS = 3_000;
/** Requests with the part that come at the same time, and how often. */
const WAVE_SIZE = 6;
/** Time over which the requests of one wave arrive, and time to the first token of any answer. */
const WAVE_MS = 400;
const FIRST_TOKEN_MS = 600;
const WAVE_COUNT = 5;
const WAVE_INTERVAL_MS = 6_000;
/** The part is in one of 21 requests, under the share of 0.05 that the users' day has. */
const SOUND_PER_S = 20;
const WARM_UP_MS = 4_000;
const DEADLINE_MS = 6_000;
/** Crashes after which the part has to be known, and arrivals that are allowed from then on. */
const KNOWN_AFTER = 5;
const ALLOWED_ARRIVALS = 3;

const record = new Record();
const network = drawNetwork();
const folder = createFolder();
const store = new Store();
const crashes = [];
const arrivals = [];
const sentAt = new Map();
const open = new Set();
const sound = { sent: 0, whole: 0 };
let isSending = true;

function createManifest() {
  return {
    version: 7,
    routes: [{
      name: 'r-letter',
      host: 'pule25.example',
      prefix: '/letter/',
      kind: 'streaming',
      timeout_ms: 6_000,
      target_latency_ms: 2_500,
      gap_target_ms: 400,
      priority: 1,
      service: 'parsley-pool',
      max_attempts: 1,
      stages: [],
      no_auth: false,
      session_affinity: true,
      stream_resume: false,
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
    tenants: [{ name: 'bozi300', api_keys: [KEY], priority: 1 }],
  };
}

async function sendLetter(host, isCrashing) {
  const id = randomBytes(8).toString('hex');
  const own = `${randomBytes(4).toString('hex')}:400`;
  const parts = isCrashing
    ? [FIRST_PART, `${CRASHING_PART}:60`, own]
    : [FIRST_PART, `${randomBytes(4).toString('hex')}:60`, own];
  sentAt.set(id, now());
  record.add(`client sends ${id} to ${host.name} ${isCrashing ? 'with the part' : 'sound'}`);
  const answer = await sendRequest({
    address: host.address,
    method: 'POST',
    path: '/letter/2f',
    headers: {
      Host: 'pule25.example',
      'X-Request-Id': id,
      'X-Model': 'm',
      'X-Token-Usage': '900,60',
      'X-Prompt-Prefix': parts.join(','),
      'X-Deadline-Ms': String(DEADLINE_MS),
      Authorization: `Bearer ${KEY}`,
    },
    body: `a letter ${id}`,
    timeoutMs: DEADLINE_MS,
  });
  record.add(`client has of ${id} status=${answer.status} ${
    answer.isWhole ? 'ended' : `broken off ${answer.detail}`}`);
  if (!isCrashing) {
    sound.sent += 1;
    sound.whole += answer.status === 200 && answer.isWhole ? 1 : 0;
  }
}

function send(host, isCrashing) {
  const sending = sendLetter(host, isCrashing);
  open.add(sending);
  sending.finally(() => open.delete(sending));
}

async function sendSound(hosts) {
  for (let count = 0; isSending; count += 1) {
    send(hosts[count % hosts.length], false);
    // eslint-disable-next-line no-await-in-loop -- sends at an even rate
    await sleep(1_000 / SOUND_PER_S);
  }
}

async function run() {
  await store.start();
  store.put('op/config', createManifest());
  const engines = Array.from({ length: ENGINE_COUNT }, (_, index) => new StreamEngine({
    id: `i-7f3a91${(16 + index).toString(16)}`,
    ip: `${network}.${100 + index}`,
    zone: ['mid-a', 'mid-b', 'mid-c'][index % 3],
    service: 'parsley-pool',
    version: 'v1',
    store,
    record,
    eventCount: 6,
    gapMs: 100,
    firstMs: FIRST_TOKEN_MS,
    crash: {
      part: CRASHING_PART,
      downMs: ENGINE_DOWN_MS,
      onArrival: (id) => arrivals.push({ id, at: now() }),
      onCrash: (id) => {
        crashes.push(now());
        record.add(`crash ${crashes.length} by ${id}`);
      },
    },
  }));
  await Promise.all(engines.map((engine) => engine.start()));
  const hosts = ['mid-a', 'mid-b', 'mid-c'].map((zone, index) => new Host({
    name: `front-${zone}-1`,
    ip: `${network}.${1 + index}`,
    zone,
    storeAddress: store.address,
    bounds: MSA_SEATDESK_BOUNDS,
    folder,
  }));
  await Promise.all(hosts.map((host) => host.start()));
  const sending = sendSound(hosts);
  await sleep(WARM_UP_MS);
  for (let wave = 0; wave < WAVE_COUNT; wave += 1) {
    for (let count = 0; count < WAVE_SIZE; count += 1) {
      if (HAS_TROUBLE) {
        send(hosts[count % hosts.length], true);
      }
      // eslint-disable-next-line no-await-in-loop -- one request after the other
      await sleep(WAVE_MS / WAVE_SIZE);
    }
    // eslint-disable-next-line no-await-in-loop -- one wave after the other
    await sleep(WAVE_INTERVAL_MS - WAVE_MS);
  }
  isSending = false;
  await sending;
  await Promise.all([...open]);
  engines.filter(({ isUp }) => isUp).forEach((engine) => engine.crash());
}

let exitCode = 2;
try {
  await run();
  if (sound.whole < sound.sent / 2) {
    throw new Error('fewer than half of the requests were served');
  }
  const dueAt = (crashes[KNOWN_AFTER - 1] ?? Infinity) + MSA_SEATDESK_BOUNDS.contact_ms / 1_000;
  const late = arrivals.filter(({ id, at }) => at > dueAt && sentAt.get(id) > dueAt);
  exitCode = late.length > ALLOWED_ARRIVALS ? 1 : 0;
  const fifthAt = crashes[KNOWN_AFTER - 1]?.toFixed(1) ?? '-';
  const text = `${crashes.length} crashes, the fifth at ${fifthAt} s; ${
    late.length} requests with the part reached engines later than contact_ms after it, ${
    ALLOWED_ARRIVALS} may; sound: ${sound.whole} of ${sound.sent} served`;
  record.add(`${text}; ${exitCode === 0 ? 'BUDGET held' : 'BUDGET is broken'}`);
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
