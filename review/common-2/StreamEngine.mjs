import { createServer } from 'node:http';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';

const HEARTBEAT_MS = 1_200;
const DISCARD = () => {};

/**
 * A model engine in one process: sends numbered events, each with the engine's software version.
 * It registers in the store as it starts and at each heartbeat, and drops a request at the close
 * of its channel.
 */
export class StreamEngine {
  #server = null;

  #timer = null;

  #sequence = 0;

  #active = new Set();

  /**
   * @param {object} options as named;
   *   `crash`: a part of a prompt that crashes the engine as it begins to write an answer on it,
   *   how long it is down then, and who is told; it is back under a new id
   */
  constructor({
    id, ip, port = 8_080, zone, service, version, store, record, eventCount, gapMs, firstMs,
    crash = null,
  }) {
    Object.assign(this, {
      id, ip, port, zone, service, version, store, record, eventCount, gapMs, firstMs,
    });
    this.born = 0;
    this.name = id;
    this.crashOn = crash;
    this.startCount = 0;
    this.isUp = false;
  }

  get address() {
    return `${this.ip}:${this.port}`;
  }

  async start() {
    this.startCount += 1;
    this.isUp = true;
    this.born = Math.max(this.born + 1, Date.now());
    this.#sequence = 0;
    this.#server = createServer((request, response) => this.#handle(request, response));
    this.#server.keepAliveTimeout = 30_000;
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.port, this.ip, resolve);
    });
    this.record.add(`engine ${this.id} starts version=${this.version} born=${this.born}`);
    this.#register();
    this.#timer = setInterval(() => this.#register(), HEARTBEAT_MS);
  }

  /** Ends as a process does that crashes: it sends nothing, and its channels close. */
  crash() {
    this.isUp = false;
    clearInterval(this.#timer);
    this.record.add(`engine ${this.id} crashes active=${this.#active.size}`);
    this.#server.close(DISCARD);
    this.#server.closeAllConnections();
    this.#active.clear();
  }

  /** Crashes and is back under its id and address, at another software version. */
  async restartAs(version, downMs) {
    this.crash();
    await sleep(downMs);
    this.version = version;
    await this.start();
  }

  /** Crashes on a request; the store removes the entry after three heartbeats of silence. */
  async #crashOnPart(requestId) {
    if (!this.isUp) {
      return;
    }
    const { id } = this;
    this.crash();
    this.crashOn.onCrash(requestId);
    setTimeout(() => this.store.remove(`servers/${id}`), HEARTBEAT_MS * 3);
    await sleep(this.crashOn.downMs);
    this.id = `${this.name}-${this.startCount}`;
    await this.start();
  }

  #register() {
    this.#sequence += 1;
    const isWritten = this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      slots: 64,
      state: 'ready',
      cold_left_ms: 0,
      stage: 'combined',
      models: [{ name: 'm', version: 1, adapters: [] }],
      sequence: this.#sequence,
      born: this.born,
    });
    if (this.#sequence === 1 || isWritten !== this.wasWritten) {
      this.record.add(`engine ${this.id} registers version=${this.version} born=${this.born} ${
        isWritten ? 'written' : 'refused by the store'}`);
    }
    this.wasWritten = isWritten;
  }

  #handle(request, response) {
    const id = request.headers['x-request-id'];
    request.resume();
    if (id !== undefined) {
      response.setHeader('X-Request-Id', id);
    }
    const expected = request.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'X-Not-Executed': '1', 'X-Instance-Id': this.id }).end();
    } else if (request.url === '/health') {
      response.writeHead(200, { 'X-Instance-Id': this.id }).end();
    } else if (request.url === '/-/report') {
      response.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify({
        stage: 'combined',
        models: [{ name: 'm', version: 1, adapters: [] }],
        busy: false,
        sequence: 0,
        queued: 0,
        active: this.#active.size,
        kv_used: this.#active.size * 600,
        kv_total: 326_199,
        handles: 0,
        born: this.born,
      }));
    } else {
      this.#run(id, request, response);
    }
  }

  #run(id, request, response) {
    const resumedAt = request.headers['last-event-id'];
    const first = resumedAt === undefined ? 1 : Number(resumedAt) + 1;
    const { version } = this;
    this.record.add(`run ${id} at ${this.id} version=${version} from event ${first}`);
    const run = { id };
    this.#active.add(run);
    response.once('close', () => this.#active.delete(run));
    const parts = (request.headers['x-prompt-prefix'] ?? '').split(',')
      .map((part) => part.split(':')[0]);
    if (this.crashOn !== null && parts.slice(0, -1).includes(this.crashOn.part)) {
      this.crashOn.onArrival(id);
      setTimeout(() => this.#crashOnPart(id), this.firstMs);
      return;
    }
    const send = (number) => {
      if (response.destroyed) {
        return;
      }
      if (number === first) {
        response.writeHead(200, {
          'Content-Type': 'text/event-stream',
          'X-Response-Signature': `sig-${this.id}-${id}`,
          'X-Weight-Versions': '1',
        });
      }
      if (number > this.eventCount) {
        response.end();
        return;
      }
      response.write(`id: ${number}\ndata: ${version} of ${this.id}\n\n`);
      if (number < this.eventCount) {
        setTimeout(() => send(number + 1), this.gapMs);
      } else {
        response.end();
      }
    };
    setTimeout(() => send(first), this.firstMs);
  }
}
