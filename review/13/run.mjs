/*
 * A zone is evacuated and taken back; its engine is cold then and says so. Requests that may run
 * once reach it at more than the rate that the rules allow; it crashes, and the requests that it
 * had accepted are lost.
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
  API_KEY, createManifest, createServiceRoute, HOST_NAME,
} from '../common-3/manifest.mjs';
import { Record } from '../common-3/record.mjs';
import { sendRequest } from '../common-3/sendRequest.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONES = ['mid-a', 'mid-b', 'mid-c'];
const WORK_MS = 43;
const COLD_START_S = 3;
const COLD_PER_S = 11;
const DOWN_MS = 2_000;
/** An entry is removed after three status report intervals of silence. */
const LAPSE_MS = 3_600;
const REQUESTS_PER_S = 92;
const EVACUATED_AT_MS = 4_000;
const EVACUATED_MS = 8_000;
const RUN_MS = 22_000;
/** FAILBACK: in one second, `cold_per_s` x `cold_overshoot` + `cold_slack`. */
const ALLOWED = COLD_PER_S * BOUNDS.cold_overshoot + BOUNDS.cold_slack;
/** A cold engine crashes at a rate well above `cold_per_s`. */
const CRASH_FACTOR = 2.5;

const record = new Record(new URL('record.txt', import.meta.url).pathname);
const folder = mkdtempSync(join(tmpdir(), 'review-13-'));
const hosts = [];
const store = new StoreStandin();

/** An engine of the ledger, which is cold for some seconds after it starts during traffic. */
class Ledger extends Service {
  #coldUntilMs = 0;

  /** Times of the requests that arrived in the last second while it was cold. */
  #recent = [];

  /** Most requests that arrived in one second while it was cold. */
  mostInSecond = 0;

  crashCount = 0;

  #startCount = 1;

  constructor(zone) {
    super({
      id: `ledger-${zone}-1`,
      service: 'ledger',
      zone,
      store,
      slots: 6,
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
    this.id = `ledger-${this.zone}-${this.#startCount}`;
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
    await sleep(WORK_MS);
    response.writeHead(200, { 'X-Response-Signature': `signed-${this.id}` }).end('confirmed');
  }
}

const ledgers = ZONES.map((zone) => new Ledger(zone));

async function start() {
  await store.listen();
  store.put('op/config', createManifest(
    [createServiceRoute({ name: 'confirm', prefix: '/confirm/', service: 'ledger' })],
    [{
      name: 'ledger',
      health_path: '/health',
      max_connections: 110,
      protocol: 'h1',
      tls: false,
      cold_start_s: COLD_START_S,
      cold_per_s: COLD_PER_S,
    }],
  ));
  await Promise.all(ledgers.map((ledger) => ledger.start()));
  const ips = await findAddresses(ZONES.length);
  ips.forEach((ip, index) => hosts.push(new Host({
    name: `front-${ZONES[index]}-1`,
    ip,
    zone: ZONES[index],
    folder,
    storeAddress: store.address,
  })));
  await Promise.all(hosts.map((host) => host.start()));
  await Promise.all(hosts.map((host) => host.waitUntilReady()));
  await sleep(1_500);
}

/** The operator evacuates the first zone and takes it back; its engine is cold at the end. */
async function evacuate() {
  const [ledger] = ledgers;
  store.put(`op/evacuate/${ledger.zone}`, {});
  record.add(`the operator evacuates ${ledger.zone}`);
  await sleep(EVACUATED_MS);
  ledger.becomeCold();
  ledger.register('ready');
  store.remove(`op/evacuate/${ledger.zone}`);
  record.add(`the operator takes ${ledger.zone} back`);
}

async function send(host) {
  const requestId = randomUUID();
  const answer = await sendRequest(host.front, {
    path: `/confirm/${requestId}`,
    headers: {
      Host: HOST_NAME,
      Authorization: `Bearer ${API_KEY}`,
      'X-Request-Id': requestId,
      'X-Deadline-Ms': '1500',
    },
    body: 'seat 12',
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
  const lost = answers.filter(({ status }) => status === 502 || status === 504);
  record.add(`${answers.length} requests, ${served.length} served, `
    + `${lost.length} answered 502 or 504, whose outcome the client does not know`);
  const most = Math.max(...ledgers.map(({ mostInSecond }) => mostInSecond));
  const crashes = ledgers.reduce((sum, { crashCount }) => sum + crashCount, 0);
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
