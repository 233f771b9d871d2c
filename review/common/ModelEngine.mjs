/* global setTimeout */
import { Engine } from './Engine.mjs';

const STATUS = { badRequest: 400, gone: 409 };

/** Stand-in of a model engine: streams events, each under its id. */
export class ModelEngine extends Engine {
  constructor(options) {
    super(options);
    /** Called with each request that begins to run; returns nothing. */
    this.onRun = () => {};
    /** Tells whether an input still exists at its maker. */
    this.isThere = () => true;
    /** Called when the last event of a run has been sent. */
    this.onEnded = () => {};
  }

  serve = (request, response) => {
    const inputs = (request.headers['x-inputs'] ?? '').split(',').filter((text) => text !== '');
    const { needsInputs, readMs } = this.options;
    if (needsInputs && inputs.length === 0) {
      response.writeHead(STATUS.badRequest, { 'X-Not-Executed': '1' }).end();
      return;
    }
    if (!inputs.every((handle) => this.isThere(handle))) {
      response.writeHead(STATUS.gone, { 'X-Not-Executed': '1' }).end();
      return;
    }
    this.onRun(request, inputs);
    const state = { isClosed: false };
    response.once('close', () => {
      state.isClosed = true;
    });
    setTimeout(() => this.#begin(request, response, state), readMs);
  };

  #begin(request, response, state) {
    if (state.isClosed) {
      return;
    }
    const headers = {
      'Content-Type': 'text/event-stream',
      'X-Response-Signature': this.getSignature(request),
      'X-Weight-Versions': '1',
    };
    if (this.options.isUnframed) {
      response.useChunkedEncodingByDefault = false;
      headers.Connection = 'close';
    }
    response.writeHead(200, headers);
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    this.#sendEvent(request, response, state, first);
  }

  #sendEvent(request, response, state, number) {
    if (state.isClosed) {
      return;
    }
    const { eventCount, gapMs } = this.options;
    response.write(`id: ${number}\ndata: ${this.softwareVersion} ${number}\n\n`);
    if (number >= eventCount) {
      this.onEnded(request);
      response.end();
    } else {
      setTimeout(() => this.#sendEvent(request, response, state, number + 1), gapMs);
    }
  }

  getSignature(request) {
    return `${this.id}.${request.headers['x-request-id']}`;
  }
}
