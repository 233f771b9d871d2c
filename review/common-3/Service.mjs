import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const LOOPBACK = '127.0.0.1';

/** Common part of the stand-ins for engines: one HTTP server that registers itself in the store. */
export class Service {
  #handler;

  constructor({
    id, service, zone, store, slots = 64, handler, version = '1',
  }) {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.slots = slots;
    this.version = version;
    this.#handler = handler;
    this.born = Date.now();
    this.server = null;
    this.sequence = 0;
    this.coldLeftMs = 0;
  }

  get address() {
    return `${LOOPBACK}:${this.port}`;
  }

  /** Listens, on the same port as before if there was one, and registers. */
  async start() {
    this.born = Math.max(Date.now(), this.born + 1);
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    await new Promise((resolve) => {
      this.server.listen({ host: LOOPBACK, port: this.port ?? 0 }, resolve);
    });
    this.port = this.server.address().port;
    this.register('ready');
  }

  register(state) {
    this.sequence += 1;
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state,
      cold_left_ms: this.coldLeftMs,
      sequence: this.sequence,
      born: this.born,
    });
  }

  /** Ends as a killed process does; its entry lapses later. */
  crash() {
    this.server.close();
    this.server.closeAllConnections();
  }

  unregister() {
    this.store.remove(`servers/${this.id}`);
  }

  async #handle(request, response) {
    const chunks = [];
    // eslint-disable-next-line no-restricted-syntax -- reads the body
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const requestId = request.headers['x-request-id'];
    if (requestId !== undefined) {
      response.setHeader('X-Request-Id', requestId);
    }
    const expected = request.headers['x-expect-instance'];
    if (request.url === '/health') {
      response.writeHead(200, { 'X-Instance-Id': this.id }).end();
    } else if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'X-Not-Executed': '1' }).end();
    } else if (request.url === '/-/report') {
      response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify({
        stage: 'combined',
        models: [{ name: 'm', version: 1, adapters: [] }],
        busy: false,
        sequence: 0,
        queued: 0,
        active: 0,
        kv_used: 0,
        kv_total: 300_000,
        handles: 0,
        born: this.born,
      }));
    } else {
      await this.#handler(this, request, response, Buffer.concat(chunks));
    }
  }
}

/** Runs pieces of stages: a call takes `callMs`, and each piece gets a handle. */
export function createStageHandler({ callMs, onItems }) {
  return async (service, request, response, body) => {
    if (request.url === '/-/stage-free') {
      response.writeHead(200).end();
      return;
    }
    const { items } = JSON.parse(body.toString('utf8'));
    onItems?.(service, items);
    await sleep(callMs);
    response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify({
      items: items.map(({ id, stage, piece }) => ({
        handle: `${service.address}/${id}${stage}x${piece}`,
      })),
    }));
  };
}

/** Runs a generation as a stream of events. */
export function createStreamHandler({ eventCount, gapMs, onRun }) {
  return async (service, request, response) => {
    onRun?.(service, request);
    response.writeHead(200, {
      'Content-Type': 'text/event-stream',
      'X-Response-Signature': `signed-${service.id}`,
      'X-Weight-Versions': '1',
    });
    let next = Number(request.headers['last-event-id'] ?? 0) + 1;
    while (next <= eventCount && !response.destroyed) {
      response.write(`id: ${next}\ndata: event ${next}\n\n`);
      next += 1;
      // eslint-disable-next-line no-await-in-loop -- one event after the other
      await sleep(gapMs);
    }
    response.end();
  };
}
