import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { createRequestId, sendRequest } from '../common/Client.mjs';
import { HOST_NAME, KEY, startInstallation } from '../common/Installation.mjs';
import { ModelEngine } from '../common/ModelEngine.mjs';
import { runCase } from '../common/runCase.mjs';

const ZONES = ['mid-a', 'mid-b', 'mid-c'];
const EVENT_COUNT = 13;
const GAP_MS = 120;
const REQUEST_GAP_MS = 80;
const TRAFFIC_S = 21;
/** When one process is killed, in seconds from the start of traffic; it is back after 3.5 s. */
const KILLS_S = [4, 10, 16];
const DOWN_MS = 3_500;
const DEADLINE_MS = 6_000;

const manifest = {
  version: 7,
  routes: [{
    name: 'r-plan',
    host: HOST_NAME,
    prefix: '/puxa400/',
    kind: 'streaming',
    timeout_ms: 6000,
    target_latency_ms: 1100,
    priority: 0,
    service: 'parsley-pool',
    max_attempts: 2,
    no_auth: false,
    session_affinity: true,
    stream_resume: true,
    gap_target_ms: 400,
  }],
  services: [{
    name: 'parsley-pool',
    health_path: '/health',
    max_connections: 370,
    engine: { slots: 64, kv_capacity_tokens: 326_199 },
  }],
};

function createHeaders(id) {
  return {
    Host: HOST_NAME,
    Authorization: `Bearer ${KEY}`,
    'X-Request-Id': id,
    'X-Model': 'm',
    'X-Token-Usage': '1460,80',
    'X-Prompt-Prefix': `5c1e07a2:800,${id.slice(0, 8)}:660`,
    'X-Deadline-Ms': String(DEADLINE_MS),
  };
}

async function killOnce(host, record) {
  record.add(`SIGKILL of the entry host at ${host.ip}`);
  host.kill('SIGKILL');
  await host.waitForExit();
  await sleep(DOWN_MS);
  await host.start();
  record.add(`the entry host at ${host.ip} is back`);
}

await runCase(join(import.meta.dirname, 'record.txt'), async ({
  record, hasTrouble, folder, onClose,
}) => {
  // Their streams have neither a length nor chunks, and end with the channel.
  const engines = ZONES.map((zone) => new ModelEngine({
    service: 'parsley-pool',
    zone,
    slots: 64,
    readMs: 200,
    eventCount: EVENT_COUNT,
    gapMs: GAP_MS,
    isUnframed: true,
  }));
  const wholeIds = new Set();
  engines.forEach((engine) => Object.assign(engine, {
    onRun: (request) => record.add(`runs ${request.headers['x-request-id']} at ${engine.id}`),
    onEnded: (request) => wholeIds.add(request.headers['x-request-id']),
  }));
  const { hosts } = await startInstallation({
    manifest, engines, zones: ZONES, folder, onClose,
  });
  const kills = hasTrouble ? KILLS_S.map(async (atS, index) => {
    await sleep(atS * 1_000);
    await killOnce(hosts[index % hosts.length], record);
  }) : [];
  const untilMs = Date.now() + TRAFFIC_S * 1_000;
  const answers = [];
  while (Date.now() < untilMs) {
    const up = hosts.filter(({ isRunning }) => isRunning);
    const host = up[answers.length % up.length];
    const id = createRequestId();
    record.add(`sent ${id} to ${host.ip}`);
    answers.push(sendRequest(host.callerAddress, {
      method: 'POST',
      path: '/puxa400/2f',
      body: `prompt of ${id}`,
      headers: createHeaders(id),
      deadlineMs: DEADLINE_MS,
    }).then((answer) => {
      const events = answer.text.match(/^id: \d+$/gm) ?? [];
      record.add(`answered ${id}: ${answer.status}, ${events.length} events, framing `
        + `${answer.framing}, end ${answer.end}`);
      return { id, eventCount: events.length, ...answer };
    }));
    // eslint-disable-next-line no-await-in-loop -- one request after the other
    await sleep(REQUEST_GAP_MS);
  }
  await Promise.all(kills);
  const done = await Promise.all(answers);
  // A success that looks complete: its end is marked, or it has no framing and its channel was
  // closed in order after a whole event.
  const looksComplete = ({
    status, framing, end, text,
  }) => status === 200
    && (end === 'marked' || (framing === 'none' && end === 'closed' && text.endsWith('\n\n')));
  const complete = done.filter(looksComplete);
  record.add(`${complete.length} of ${done.length} answers look complete`);
  if (complete.length < done.length / 2) {
    throw new Error('fewer than half of the requests were served');
  }
  return complete.filter(({ eventCount }) => eventCount < EVENT_COUNT)
    .map(({ id, eventCount, headers }) => (
      `MIXED: the answer to ${id} looks complete after ${eventCount} of ${EVENT_COUNT} events, `
      + `with the signature ${headers['x-response-signature']}`));
});
