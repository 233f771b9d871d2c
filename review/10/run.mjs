/*
 * A zone is evacuated and taken back; its model engine is cold then and says so. Thirty entry hosts
 * may each send it one request a second, which together is more than the rules allow; it crashes,
 * and its streams break off.
 */
import { randomUUID } from 'node:crypto';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { URL } from 'node:url';
import { StoreStandin } from '../../standins/store/StoreStandin.ts';
import { BOUNDS, findAddresses, Host } from '../common-3/Host.mjs';
import { Service } from '../common-3/Service.mjs';
import {
  createEngineService, createManifest, createStreamHeaders, createStreamRoute,
} from '../common-3/manifest.mjs';
import { Record } from '../common-3/record.mjs';
import { sendRequest } from '../common-3/sendRequest.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONES = ['mid-a', 'mid-b', 'mid-c'];
const HOST_COUNT = 30;
const EVENT_COUNT = 15;
const EVENT_GAP_MS = 200;
const COLD_START_S = 3;
const COLD_PER_S = 11;
const DOWN_MS = 2_000;
/** An entry is removed after three status report intervals of silence. */
const LAPSE_MS = 3_600;
const REQUESTS_PER_S = 38;
const EVACUATED_AT_MS = 4_000;
const EVACUATED_MS = 8_000;
const RUN_MS = 22_000;
/** FAILBACK: in one second, `cold_per_s` x `cold_overshoot` + `cold_slack`. */
const ALLOWED = COLD_PER_S * BOUNDS.cold_overshoot + BOUNDS.cold_slack;
/** A cold engine crashes at a rate well above `cold_per_s`. */
const CRASH_FACTOR = 2.5;

const record = new Record(new URL('record.txt', import.meta.url).pathname);
const folder = mkdtempSync(join(tmpdir(), 'review-10-'));
const hosts = [];
const store = new StoreStandin();

/** A model engine, which is cold for some seconds after it starts during traffic. */
class Engine extends Service {
  #coldUntilMs = 0;

  /** Times of the requests that arrived in the last second while it was cold. */
  #recent = [];

  /** Most requests that arrived in one second while it was cold. */
  mostInSecond = 0;

  crashCount = 0;

  #startCount = 1;

  constructor(zone) {
    super({
      id: `engine-${zone}-1`,
      service: 'pool',
      zone,
      store,
      slots: 64,
      handler: (_service, request, response) => this.#run(request, response),
    });
  }

  /** Becomes cold and says so in its entry. */
  becomeCold() {
    this.#coldUntilMs = Date.now() + COLD_START_S * 1_000;
    this.coldLeftMs = COLD_START_S * 1_000;
    this.#recent = [];
    record.add(`${this.id} is cold for ${COLD_START_S} s`);
  }

  async goDown() {
    this.crash();
    record.add(`${this.id} is down`);
    const { id } = this;
    sleep(LAPSE_MS).then(() => store.remove(`servers/${id}`));
    await sleep(DOWN_MS);
    this.#startCount += 1;
    this.id = `engine-${this.zone}-${this.#startCount}`;
    this.becomeCold();
    await this.start();
    record.add(`${this.id} is back`);
  }

  async #run(request, response) {
    const id = request.headers['x-request-id'];
    const nowMs = Date.now();
    if (nowMs < this.#coldUntilMs) {
      this.#recent = [...this.#recent.filter((atMs) => atMs > nowMs - 1_000), nowMs];
      this.mostInSecond = Math.max(this.mostInSecond, this.#recent.length);
      if (this.#recent.length > COLD_PER_S * CRASH_FACTOR) {
        record.add(`${this.id} crashes: ${this.#recent.length} requests in a second while cold`);
        this.crashCount += 1;
        this.#coldUntilMs = 0;
        this.goDown();
        return;
      }
    }
    record.add(`${this.id} runs ${id}`);
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'X-Response-Signature': `signed-${this.id}`,
      'X-Weight-Versions': '1',
    });
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let next = first; next <= EVENT_COUNT && !response.destroyed; next += 1) {
      response.write(`id: ${next}\ndata: event ${next}\n\n`);
      // eslint-disable-next-line no-await-in-loop -- one event after the other
      await sleep(EVENT_GAP_MS);
    }
    response.end();
  }
}

const engines = ZONES.map((zone) => new Engine(zone));

async function start() {
  await store.listen();
  store.put('op/config', createManifest(
    [createStreamRoute({ name: 'letters', prefix: '/letters/', service: 'pool' })],
    [createEngineService({
      name: 'pool', cold_start_s: COLD_START_S, cold_per_s: COLD_PER_S,
    })],
  ));
  await Promise.all(engines.map((engine) => engine.start()));
  const ips = await findAddresses(HOST_COUNT);
  ips.forEach((ip, index) => hosts.push(new Host({
    name: `front-${ZONES[index % ZONES.length]}-${Math.floor(index / ZONES.length) + 1}`,
    ip,
    zone: ZONES[index % ZONES.length],
    folder,
    storeAddress: store.address,
  })));
  await Promise.all(hosts.map((host) => host.start()));
  await Promise.all(hosts.map((host) => host.waitUntilReady()));
  await sleep(1_500);
}

/** The operator evacuates the first zone and takes it back; its engine is cold at the end. */
async function evacuate() {
  const [engine] = engines;
  store.put(`op/evacuate/${engine.zone}`, {});
  record.add(`the operator evacuates ${engine.zone}`);
  await sleep(EVACUATED_MS);
  engine.becomeCold();
  engine.register('ready');
  store.remove(`op/evacuate/${engine.zone}`);
  record.add(`the operator takes ${engine.zone} back`);
}

async function send(host) {
  const requestId = randomUUID();
  const answer = await sendRequest(host.front, {
    path: '/letters/1',
    headers: createStreamHeaders(requestId),
    body: 'letter',
  });
  record.add(`client gets ${answer.status ?? answer.error} for ${requestId} from ${host.name}`);
  return answer;
}

async function run() {
  await start();
  const startedAtMs = Date.now();
  const calls = [];
  let isDisturbed = !HAS_TROUBLE;
  let dueAtMs = startedAtMs;
  for (let index = 0; Date.now() - startedAtMs < RUN_MS; index += 1) {
    if (!isDisturbed && Date.now() - startedAtMs >= EVACUATED_AT_MS) {
      isDisturbed = true;
      evacuate();
    }
    calls.push(send(hosts[index % hosts.length]));
    dueAtMs += 1_000 / REQUESTS_PER_S;
    // eslint-disable-next-line no-await-in-loop -- a steady rate
    await sleep(dueAtMs - Date.now());
  }
  const answers = await Promise.all(calls);
  const served = answers.filter(({ status, isComplete }) => status === 200 && isComplete);
  const cut = answers.filter(({ status, isComplete }) => status === 200 && !isComplete);
  record.add(`${answers.length} streams, ${served.length} served whole, ${cut.length} broken off`);
  const most = Math.max(...engines.map(({ mostInSecond }) => mostInSecond));
  const crashes = engines.reduce((sum, { crashCount }) => sum + crashCount, 0);
  record.add(`most requests at a cold engine in one second: ${most}, allowed: ${ALLOWED}; `
    + `crashes of cold engines: ${crashes}`);
  return most > ALLOWED ? 1 : 0;
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
