/* global Buffer, setTimeout */
import { Engine } from './Engine.mjs';

const STATUS_UNAVAILABLE = 503;

/** Stand-in of a plain service with a few slots and a short queue; rejects what is beyond. */
export class BusyEngine extends Engine {
  #runningCount = 0;

  #waiting = [];

  constructor(options) {
    super(options);
    /** Called with each request that begins to run. */
    this.onRun = () => {};
    /** Called with each request that is rejected, and with the bytes of that answer. */
    this.onRejected = () => {};
  }

  serve = (request, response) => {
    if (this.#runningCount < this.options.slots) {
      this.#run(request, response);
    } else if (this.#waiting.length < this.options.queue) {
      this.#waiting.push({ request, response });
    } else {
      this.#reject(request, response);
    }
  };

  #getLoad() {
    return `${this.#runningCount},${this.#waiting.length},${this.options.slots}`;
  }

  #reject(request, response) {
    const headers = {
      'X-Not-Executed': '1', 'X-Server-Load': this.#getLoad(), 'Content-Length': '0',
    };
    response.sendDate = false;
    response.writeHead(STATUS_UNAVAILABLE, headers);
    response.end();
    const lines = [
      'HTTP/1.1 503 Service Unavailable',
      `X-Request-Id: ${request.headers['x-request-id']}`,
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    ];
    this.onRejected(request, Buffer.from(`${lines.join('\r\n')}\r\n\r\n`));
  }

  #run(request, response) {
    this.#runningCount += 1;
    this.onRun(request);
    setTimeout(() => {
      this.#runningCount -= 1;
      const id = request.headers['x-request-id'];
      const body = Buffer.from(`seat of ${id}`);
      response.writeHead(200, {
        'X-Response-Signature': `${this.id}.${id}`,
        'X-Server-Load': this.#getLoad(),
        'Content-Length': body.length,
      });
      response.end(body);
      const next = this.#waiting.shift();
      if (next !== undefined) {
        this.#run(next.request, next.response);
      }
    }, this.options.workMs);
  }
}
