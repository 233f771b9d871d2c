/* global Buffer */
import { randomBytes } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { Engine } from './Engine.mjs';

const UNAVAILABLE = 503;

/** Stand-in of a stage engine: one call at a time, results under handles. */
export class StageEngine extends Engine {
  #waitingCount = 0;

  #last = Promise.resolve();

  /** What was made here, by handle: the request's id, the stage and the piece. */
  results = new Map();

  constructor(options) {
    super(options);
    /** Called with each handle that is given up. */
    this.onFreed = () => {};
    /** Called with the items of a call, once they are made, and their answers. */
    this.onMade = () => {};
    /** Called with the bytes of a whole answer once it is written. */
    this.onAnswered = () => {};
  }

  serve = (request, response, body) => {
    if (request.url === '/-/stage-run') {
      this.#run(request, response, JSON.parse(body).items);
      return;
    }
    if (request.url === '/-/stage-free') {
      JSON.parse(body).handles.forEach((handle) => this.onFreed(handle));
    }
    this.#answer(request, response, {});
  };

  #run(request, response, items) {
    const { queue, callMs, itemMs } = this.options;
    if (this.#waitingCount > queue) {
      response.writeHead(UNAVAILABLE, { 'X-Not-Executed': '1' }).end();
      return;
    }
    this.#waitingCount += 1;
    const run = async () => {
      await sleep(callMs + itemMs * items.length);
      this.#waitingCount -= 1;
      const answers = items.map(({ id, stage, piece }) => {
        const handle = `${this.address}/${randomBytes(6).toString('hex')}`;
        this.results.set(handle, { requestId: id, stage, piece });
        return { handle };
      });
      this.onMade(items, answers);
      this.#answer(request, response, { items: answers });
    };
    this.#last = this.#last.then(run, run);
  }

  #answer(request, response, fields) {
    const text = JSON.stringify(fields);
    const id = request.headers['x-request-id'];
    const head = [
      'HTTP/1.1 200 OK',
      ...(id === undefined ? [] : [`X-Request-Id: ${id}`]),
      'Content-Type: application/json',
      `X-Server-Load: ${this.#waitingCount},0,1`,
      `Content-Length: ${Buffer.byteLength(text)}`,
    ];
    response.sendDate = false;
    response.writeHead(200, {
      'Content-Type': 'application/json',
      'X-Server-Load': `${this.#waitingCount},0,1`,
      'Content-Length': Buffer.byteLength(text),
    });
    response.end(text);
    this.onAnswered(request, Buffer.from(`${head.join('\r\n')}\r\n\r\n${text}`));
  }
}
