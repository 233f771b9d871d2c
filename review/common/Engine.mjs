import { randomBytes } from 'node:crypto';
import { createServer } from 'node:http';
import { text as readText } from 'node:stream/consumers';
import { setTimeout as sleep } from 'node:timers/promises';

const LOOPBACK = '127.0.0.1';
const KEEP_ALIVE_MS = 20_000;
const STATUS = {
  ok: 200, badRequest: 400, conflict: 409, misdirected: 421, unavailable: 503,
};

/** What all stand-ins of engines share: identity, health, 421, and echoed ids. */
export class Engine {
  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  /**
   * @param options - `zone`, `service`, `slots`
   */
  constructor(options) {
    this.options = options;
    this.id = `i-${randomBytes(5).toString('hex')}`;
    this.born = Date.now();
    this.softwareVersion = options.version ?? 'v1';
    this.#server.keepAliveTimeout = KEEP_ALIVE_MS;
    /** Called for each arrival, before anything is read of it. */
    this.onArrival = () => {};
  }

  get address() {
    return `${LOOPBACK}:${this.#server.address().port}`;
  }

  /** The entry that the engine writes to the store. */
  get entry() {
    const { service, zone, slots } = this.options;
    return {
      service,
      address: this.address,
      zone,
      version: this.softwareVersion,
      slots,
      state: 'ready',
      cold_left_ms: 0,
      sequence: 1,
      born: this.born,
    };
  }

  async listen(store) {
    await this.#open(0);
    store.put(`servers/${this.id}`, this.entry);
  }

  /**
   * Crashes, and starts again at the same address under the same id.
   *
   * @param store - gets the entry of the new lifetime
   * @param downMs - how long it is away
   * @param version - the software version that starts
   */
  async restart(store, downMs, version) {
    const { port } = this.#server.address();
    this.close();
    await sleep(downMs);
    this.born = Date.now();
    this.softwareVersion = version;
    await this.#open(port);
    store.put(`servers/${this.id}`, this.entry);
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #open(port) {
    await new Promise((resolve) => {
      this.#server.listen(port, LOOPBACK, resolve);
    });
  }

  async #handle(request, response) {
    this.onArrival(request);
    const body = await readText(request);
    const requestId = request.headers['x-request-id'];
    if (requestId !== undefined) {
      response.setHeader('X-Request-Id', requestId);
    }
    if (request.url === '/health') {
      response.setHeader('X-Instance-Id', this.id);
      response.writeHead(STATUS.ok).end();
    } else if ((request.headers['x-expect-instance'] ?? this.id) !== this.id) {
      response.writeHead(STATUS.misdirected, { 'X-Not-Executed': '1' }).end();
    } else {
      this.serve(request, response, body);
    }
  }
}
